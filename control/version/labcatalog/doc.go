// Package labcatalog holds the replicated state of the control plane: templates, organisations, members, instances,
// placements, terms and the audit trail. Its content changes only by applying commands of the consensus log.
package labcatalog
