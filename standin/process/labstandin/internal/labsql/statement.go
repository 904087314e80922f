package labsql

// Kind is the command of a statement.
type Kind uint8

// The kinds of statements. The order matters: OccupiesSlot compares kinds.
const (
	Empty Kind = iota
	Insert
	Update
	Delete
	SelectRows       // SELECT columns FROM table
	SelectCount      // SELECT count(*) FROM table
	SelectValues     // SELECT expressions
	SelectSeries     // SELECT * FROM generate_series(1, N)
	PositionQuery    // lab.PositionQuery
	PromoteQuery     // lab.PromoteQuery
	SwitchPointQuery // lab.SwitchPointQuery
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
	Text      string // value of a literal in text form
	Null      bool   // whether a literal is NULL
	Parameter int    // number of a parameter, 0 if the expression is not a parameter
	Function  string // lower-case name of the called function, empty if the expression is not a call
	Arguments []Expression
	Type      uint32 // type OID of the result
	Name      string // name of the result column
}

// Statement is one parsed statement.
type Statement struct {
	Kind        Kind
	Raw         string // text of the statement with comments, without the semicolon
	Table       string
	Columns     []string     // columns of SelectRows
	Key         *Expression  // key of an INSERT or of the WHERE clause; nil without a WHERE clause
	Value       Expression   // value of an INSERT, UPDATE or SET
	Append      bool         // whether an UPDATE appends Value: SET value = value || Value
	Expressions []Expression // select list of SelectValues, or the two bounds of SelectSeries
	Setting     string       // session setting of a SET, SHOW or RESET
	Local       bool         // whether a SET is a SET LOCAL
	ReadOnly    bool         // whether a BEGIN is a BEGIN READ ONLY
	Parameters  []uint32     // inferred type OIDs of $1, $2, ...
}

// Writes reports whether the statement changes rows or creates a table.
func (s *Statement) Writes() bool {
	return s.Kind == Insert || s.Kind == Update || s.Kind == Delete || s.Kind == CreateTable
}

// Internal reports whether the statement is an internal statement: one of the queries about WAL positions and promotion
// that proxies and control instances send to members.
func (s *Statement) Internal() bool {
	return s.Kind == PositionQuery || s.Kind == PromoteQuery || s.Kind == SwitchPointQuery
}

// OccupiesSlot reports whether the statement does work in the database. Such a statement takes the configured statement
// cost and occupies a slot while it runs. Session and transaction control statements do no work in the database.
func (s *Statement) OccupiesSlot() bool {
	return s.Kind >= Insert && s.Kind <= SelectSeries
}
