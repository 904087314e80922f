package labsql

// Kind is the kind of a statement.
type Kind uint8

// The kinds of statements.
const (
	Empty Kind = iota
	Insert
	Update
	Delete
	SelectRows   // SELECT columns FROM table
	SelectCount  // SELECT count(*) FROM table
	SelectValues // SELECT expressions
	SelectSeries // SELECT * FROM generate_series(1, N)
	PositionQuery
	PromoteQuery
	SwitchPointQuery
	Set
	Show
	Reset
	Discard
	Begin
	Commit
	Rollback
	CreateTable
)

// Type OIDs of PostgreSQL.
const (
	TypeBool  uint32 = 16
	TypeInt8  uint32 = 20
	TypeInt2  uint32 = 21
	TypeInt4  uint32 = 23
	TypeText  uint32 = 25
	TypeFloat uint32 = 701
	TypeVoid  uint32 = 2278
	TypeLSN   uint32 = 3220
)

// Expression is a literal, a parameter or a function call.
type Expression struct {
	Text      string // value of a literal
	Null      bool
	Parameter int    // number of a parameter, 0 when it is none
	Function  string // lower-case name of a called function, else empty
	Arguments []Expression
	Type      uint32 // type OID of the result
	Name      string // column name
}

// Statement is one parsed statement.
type Statement struct {
	Kind        Kind
	Raw         string // text with comments, without the semicolon
	Table       string
	Columns     []string
	Key         *Expression // nil without a WHERE clause
	Value       Expression
	Append      bool // value = value || Value
	Expressions []Expression
	Setting     string
	Local       bool
	ReadOnly    bool
	Parameters  []uint32 // inferred type OIDs of $1, $2, ...
}

// Writes reports whether the statement changes rows.
func (s *Statement) Writes() bool {
	return s.Kind == Insert || s.Kind == Update || s.Kind == Delete || s.Kind == CreateTable
}

// Internal reports whether the statement is one of the proxy's own queries about positions and promotion.
func (s *Statement) Internal() bool {
	return s.Kind == PositionQuery || s.Kind == PromoteQuery || s.Kind == SwitchPointQuery
}

// OccupiesSlot reports whether the statement does work in the database, as opposed to session and transaction control.
func (s *Statement) OccupiesSlot() bool {
	return s.Kind >= Insert && s.Kind <= SelectSeries
}
