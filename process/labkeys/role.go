package labkeys

// Role defines what the owner of a certificate may do. It is stored in the certificate's organisational unit.
type Role string

// The roles of certificates.
const (
	RoleInstance Role = "instance" // may connect to the other processes of the system
	RoleOperator Role = "operator" // may use the operators' API
)
