// Package labcatalog holds the replicated state of the control plane: templates, organisations, members, proxies,
// placements, primary terms and the audit trail. Its content changes only by applying commands of the replicated log.
package labcatalog
