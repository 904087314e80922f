// Command review3 starts a small deployment of the platform's programs on loopback addresses, with stand-ins for clients,
// members, the operator and the platform, and plays one case of the review. See ../REPORT-3.md.
package main
