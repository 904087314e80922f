package labsql

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

// maxParameters bounds the parameter numbers that a statement may use, as PostgreSQL does.
const maxParameters = 65535

var errSyntax = errors.New("syntax error")

type parser struct {
	tokens    []token
	at        int
	statement *Statement
}

// Parse splits SQL at semicolons and parses each statement.
func Parse(sql string) ([]Statement, error) {
	tokens, err := scan(sql)
	if err != nil {
		return nil, err
	}

	var (
		statements []Statement
		from, low  int
	)

	for i := 0; i <= len(tokens); i++ {
		end := len(sql)
		if i < len(tokens) {
			if tokens[i].kind != tokenSymbol || tokens[i].text != ";" {
				continue
			}

			end = tokens[i].at
		}

		if i > low {
			s, err := parseOne(sql[from:end], tokens[low:i])
			if err != nil {
				return nil, err
			}

			statements = append(statements, s)
		}

		low, from = i+1, end+1
	}

	return statements, nil
}

func parseOne(raw string, tokens []token) (Statement, error) {
	s := Statement{Raw: raw}

	switch strings.TrimSpace(raw) {
	case lab.PositionQuery:
		s.Kind = Position
		return s, nil
	case lab.PromoteQuery:
		s.Kind = Promote
		return s, nil
	case lab.SwitchPointQuery:
		s.Kind = SwitchPoint
		return s, nil
	}

	p := parser{tokens: tokens, statement: &s}
	if !p.parse() || p.at != len(tokens) {
		return s, errSyntax
	}

	return s, nil
}

func (p *parser) parse() bool {
	word := p.peek()
	if word.kind != tokenWord {
		return false
	}

	p.at++

	switch word.text {
	case "insert":
		return p.insert()
	case "update":
		return p.update()
	case "delete":
		return p.remove()
	case "select":
		return p.selection()
	case "create":
		return p.create()
	}

	return p.control(word.text)
}

func (p *parser) control(word string) bool {
	switch word {
	case "set":
		return p.set()
	case "show":
		p.statement.Kind = Show
		return p.name(&p.statement.Setting)
	case "reset":
		p.statement.Kind = Reset
		return p.name(&p.statement.Setting)
	case "discard":
		p.statement.Kind = Discard
		return p.words("all")
	case "begin":
		return p.begin()
	case "start":
		return p.words("transaction") && p.begin()
	case "commit", "end":
		p.statement.Kind = Commit
		p.words("transaction")

		return true
	case "rollback", "abort":
		p.statement.Kind = Rollback
		p.words("transaction")

		return true
	}

	return false
}

func (p *parser) peek() token {
	if p.at < len(p.tokens) {
		return p.tokens[p.at]
	}

	return token{}
}

// words consumes the given words if all of them follow.
func (p *parser) words(words ...string) bool {
	for i, w := range words {
		if p.at+i >= len(p.tokens) || p.tokens[p.at+i].kind != tokenWord || p.tokens[p.at+i].text != w {
			return false
		}
	}

	p.at += len(words)

	return true
}

func (p *parser) symbols(symbols ...string) bool {
	for i, s := range symbols {
		if p.at+i >= len(p.tokens) || p.tokens[p.at+i].kind != tokenSymbol || p.tokens[p.at+i].text != s {
			return false
		}
	}

	p.at += len(symbols)

	return true
}

func (p *parser) name(into *string) bool {
	t := p.peek()
	if t.kind != tokenWord && t.kind != tokenQuoted {
		return false
	}

	*into = t.text
	p.at++

	return true
}

func (p *parser) insert() bool {
	s := p.statement
	s.Kind = Insert
	s.Key = &Expression{}

	return p.words("into") && p.name(&s.Table) &&
		p.symbols("(") && p.words("key") && p.symbols(",") && p.words("value") && p.symbols(")") &&
		p.words("values") && p.symbols("(") && p.expression(s.Key, TypeText) && p.symbols(",") &&
		p.expression(&s.Value, TypeText) && p.symbols(")")
}

func (p *parser) update() bool {
	s := p.statement
	s.Kind = Update

	if !p.name(&s.Table) || !p.words("set", "value") || !p.symbols("=") {
		return false
	}

	if p.words("value") {
		s.Append = true

		if !p.symbols("||") {
			return false
		}
	}

	return p.expression(&s.Value, TypeText) && p.where()
}

func (p *parser) remove() bool {
	p.statement.Kind = Delete
	return p.words("from") && p.name(&p.statement.Table) && p.where()
}

func (p *parser) where() bool {
	if !p.words("where") {
		return true
	}

	p.statement.Key = &Expression{}

	return p.words("key") && p.symbols("=") && p.expression(p.statement.Key, TypeText)
}

// create accepts any column list, since all tables are alike.
func (p *parser) create() bool {
	p.statement.Kind = Create
	if !p.words("table") {
		return false
	}

	p.words("if", "not", "exists")

	if !p.name(&p.statement.Table) {
		return false
	}

	p.at = len(p.tokens)

	return true
}

func (p *parser) begin() bool {
	p.statement.Kind = Begin
	p.words("transaction")

	switch {
	case p.words("read", "only"):
		p.statement.ReadOnly = true
	case p.words("read", "write"):
	}

	return true
}

func (p *parser) set() bool {
	s := p.statement
	s.Kind = Set
	s.Local = p.words("local")

	if !s.Local {
		p.words("session")
	}

	if !p.name(&s.Setting) || !p.symbols("=") && !p.words("to") {
		return false
	}

	t := p.peek()
	if t.kind == tokenEnd || t.kind == tokenSymbol || t.kind == tokenParameter {
		return false
	}

	s.Value = Expression{Text: t.text, Type: TypeText}
	p.at++

	return true
}

func (p *parser) selection() bool {
	s := p.statement

	if p.words("count") {
		s.Kind = Count
		return p.symbols("(", "*", ")") && p.words("from") && p.name(&s.Table) && p.where()
	}

	if p.symbols("*") {
		return p.allColumns()
	}

	if t := p.peek(); t.kind == tokenWord && (t.text == "key" || t.text == "value") {
		return p.columns() && p.words("from") && p.name(&s.Table) && p.where()
	}

	return p.values()
}

func (p *parser) allColumns() bool {
	s := p.statement

	if !p.words("from") {
		return false
	}

	if p.words("generate_series") {
		s.Kind = Series
		s.Items = make([]Expression, 2)

		return p.symbols("(") && p.expression(&s.Items[0], TypeInt4) && p.symbols(",") &&
			p.expression(&s.Items[1], TypeInt4) && p.symbols(")")
	}

	s.Kind = Rows
	s.Columns = []string{"key", "value"}

	return p.name(&s.Table) && p.where()
}

func (p *parser) columns() bool {
	p.statement.Kind = Rows

	for {
		t := p.peek()
		if !p.words("key") && !p.words("value") {
			return false
		}

		p.statement.Columns = append(p.statement.Columns, t.text)

		if !p.symbols(",") {
			return true
		}
	}
}

func (p *parser) values() bool {
	p.statement.Kind = Values

	for {
		var e Expression
		if !p.expression(&e, 0) {
			return false
		}

		if p.words("as") && !p.name(&e.Name) {
			return false
		}

		p.statement.Items = append(p.statement.Items, e)

		if !p.symbols(",") {
			return true
		}
	}
}

// expression parses a literal, parameter or call; want is the type that the context gives to a parameter.
func (p *parser) expression(e *Expression, want uint32) bool {
	t := p.peek()
	p.at++

	e.Name = "?column?"

	switch t.kind {
	case tokenString:
		e.Text, e.Type = t.text, TypeText
	case tokenNumber:
		e.Text, e.Type = t.text, TypeInt4
		if strings.Contains(t.text, ".") {
			e.Type = TypeFloat
		}
	case tokenParameter:
		n, err := strconv.Atoi(t.text)
		if err != nil || n < 1 || n > maxParameters {
			return false
		}

		e.Parameter, e.Type = n, want
	case tokenWord:
		if !p.word(e, t.text) {
			return false
		}
	default:
		return false
	}

	if !p.cast(e) {
		return false
	}

	p.infer(e)

	return true
}

func (p *parser) word(e *Expression, word string) bool {
	switch word {
	case "null":
		e.Null, e.Type = true, TypeText
		return true
	case "true", "false":
		e.Text, e.Type = word[:1], TypeBool
		return true
	}

	argument := TypeText

	switch word {
	case "pg_sleep":
		e.Type, argument = TypeVoid, TypeFloat
		e.Arguments = make([]Expression, 1)
	case "pg_is_in_recovery":
		e.Type = TypeBool
	case "pg_backend_pid":
		e.Type = TypeInt4
	case "version":
		e.Type = TypeText
	default:
		return false
	}

	e.Function, e.Name = word, word

	if !p.symbols("(") {
		return false
	}

	for i := range e.Arguments {
		if !p.expression(&e.Arguments[i], argument) {
			return false
		}
	}

	return p.symbols(")")
}

func (p *parser) cast(e *Expression) bool {
	if !p.symbols("::") {
		return true
	}

	var name string
	if !p.name(&name) {
		return false
	}

	switch name {
	case "text", "varchar":
		e.Type = TypeText
	case "int", "int4", "integer":
		e.Type = TypeInt4
	case "int8", "bigint":
		e.Type = TypeInt8
	case "float8":
		e.Type = TypeFloat
	case "bool", "boolean":
		e.Type = TypeBool
	default:
		return false
	}

	return true
}

// infer records the type of a parameter and defaults to text.
func (p *parser) infer(e *Expression) {
	if e.Type == 0 {
		e.Type = TypeText
	}

	if e.Parameter == 0 {
		return
	}

	s := p.statement
	for len(s.Parameters) < e.Parameter {
		s.Parameters = append(s.Parameters, TypeText)
	}

	s.Parameters[e.Parameter-1] = e.Type
}
