package labkeys

// Role is what the holder of a certificate may do; it stands in the certificate's organisational unit.
type Role string

// The roles of certificates.
const (
	RoleInstance Role = "instance" // talks to the system's other processes
	RoleOperator Role = "operator" // uses the operators' API
)
