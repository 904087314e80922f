package labsql

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

// maxParameters is the highest parameter number that a statement may use, as in PostgreSQL.
const maxParameters = 65535

var errSyntax = errors.New("syntax error")

type parser struct {
	tokens    []token
	next      int        // index of the next token
	statement *Statement // statement that the parser fills in
}

// Parse splits SQL at semicolons and parses each statement. Empty statements are omitted.
func Parse(sql string) ([]Statement, error) {
	tokens, err := scan(sql)
	if err != nil {
		return nil, err
	}

	var (
		statements        []Statement
		start, firstToken int
	)

	for i := 0; i <= len(tokens); i++ {
		end := len(sql)
		if i < len(tokens) {
			if tokens[i].kind != tokenSymbol || tokens[i].text != ";" {
				continue
			}

			end = tokens[i].offset
		}

		if i > firstToken {
			s, err := parseOne(sql[start:end], tokens[firstToken:i])
			if err != nil {
				return nil, err
			}

			statements = append(statements, s)
		}

		firstToken, start = i+1, end+1
	}

	return statements, nil
}

func parseOne(raw string, tokens []token) (Statement, error) {
	s := Statement{Raw: raw}

	switch strings.TrimSpace(raw) {
	case lab.PositionQuery:
		s.Kind = PositionQuery
		return s, nil
	case lab.PromoteQuery:
		s.Kind = PromoteQuery
		return s, nil
	case lab.SwitchPointQuery:
		s.Kind = SwitchPointQuery
		return s, nil
	}

	p := parser{tokens: tokens, statement: &s}
	if !p.parseStatement() || p.next != len(tokens) {
		return s, errSyntax
	}

	return s, nil
}

func (p *parser) parseStatement() bool {
	word := p.peek()
	if word.kind != tokenWord {
		return false
	}

	p.next++

	switch word.text {
	case "insert":
		return p.parseInsert()
	case "update":
		return p.parseUpdate()
	case "delete":
		return p.parseDelete()
	case "select":
		return p.parseSelect()
	case "create":
		return p.parseCreate()
	}

	return p.parseControl(word.text)
}

func (p *parser) parseControl(word string) bool {
	switch word {
	case "set":
		return p.parseSet()
	case "show":
		p.statement.Kind = Show
		return p.acceptName(&p.statement.Setting)
	case "reset":
		p.statement.Kind = Reset
		return p.acceptName(&p.statement.Setting)
	case "discard":
		p.statement.Kind = Discard
		return p.acceptWords("all")
	case "begin":
		return p.parseBegin()
	case "start":
		return p.acceptWords("transaction") && p.parseBegin()
	case "commit", "end":
		p.statement.Kind = Commit
		p.acceptWords("transaction")

		return true
	case "rollback", "abort":
		p.statement.Kind = Rollback
		p.acceptWords("transaction")

		return true
	}

	return false
}

func (p *parser) peek() token {
	if p.next < len(p.tokens) {
		return p.tokens[p.next]
	}

	return token{}
}

// acceptWords consumes the given words if all of them are next, and reports whether they are.
func (p *parser) acceptWords(words ...string) bool {
	for i, w := range words {
		if p.next+i >= len(p.tokens) || p.tokens[p.next+i].kind != tokenWord || p.tokens[p.next+i].text != w {
			return false
		}
	}

	p.next += len(words)

	return true
}

func (p *parser) acceptSymbols(symbols ...string) bool {
	for i, s := range symbols {
		if p.next+i >= len(p.tokens) || p.tokens[p.next+i].kind != tokenSymbol || p.tokens[p.next+i].text != s {
			return false
		}
	}

	p.next += len(symbols)

	return true
}

func (p *parser) acceptName(target *string) bool {
	t := p.peek()
	if t.kind != tokenWord && t.kind != tokenQuoted {
		return false
	}

	*target = t.text
	p.next++

	return true
}

func (p *parser) parseInsert() bool {
	s := p.statement
	s.Kind = Insert
	s.Key = &Expression{}

	return p.acceptWords("into") && p.acceptName(&s.Table) &&
		p.acceptSymbols("(") && p.acceptWords("key") && p.acceptSymbols(",") &&
		p.acceptWords("value") && p.acceptSymbols(")") &&
		p.acceptWords("values") && p.acceptSymbols("(") && p.parseExpression(s.Key, TypeText) && p.acceptSymbols(",") &&
		p.parseExpression(&s.Value, TypeText) && p.acceptSymbols(")")
}

func (p *parser) parseUpdate() bool {
	s := p.statement
	s.Kind = Update

	if !p.acceptName(&s.Table) || !p.acceptWords("set", "value") || !p.acceptSymbols("=") {
		return false
	}

	if p.acceptWords("value") {
		s.Append = true

		if !p.acceptSymbols("||") {
			return false
		}
	}

	return p.parseExpression(&s.Value, TypeText) && p.parseWhere()
}

func (p *parser) parseDelete() bool {
	p.statement.Kind = Delete
	return p.acceptWords("from") && p.acceptName(&p.statement.Table) && p.parseWhere()
}

func (p *parser) parseWhere() bool {
	if !p.acceptWords("where") {
		return true
	}

	p.statement.Key = &Expression{}

	return p.acceptWords("key") && p.acceptSymbols("=") && p.parseExpression(p.statement.Key, TypeText)
}

// parseCreate accepts any column list, since all tables have the same columns.
func (p *parser) parseCreate() bool {
	p.statement.Kind = CreateTable
	if !p.acceptWords("table") {
		return false
	}

	p.acceptWords("if", "not", "exists")

	if !p.acceptName(&p.statement.Table) {
		return false
	}

	p.next = len(p.tokens)

	return true
}

func (p *parser) parseBegin() bool {
	p.statement.Kind = Begin
	p.acceptWords("transaction")

	switch {
	case p.acceptWords("read", "only"):
		p.statement.ReadOnly = true
	case p.acceptWords("read", "write"):
	}

	return true
}

func (p *parser) parseSet() bool {
	s := p.statement
	s.Kind = Set
	s.Local = p.acceptWords("local")

	if !s.Local {
		p.acceptWords("session")
	}

	if !p.acceptName(&s.Setting) || !p.acceptSymbols("=") && !p.acceptWords("to") {
		return false
	}

	t := p.peek()
	if t.kind == tokenEnd || t.kind == tokenSymbol || t.kind == tokenParameter {
		return false
	}

	s.Value = Expression{Text: t.text, Type: TypeText}
	p.next++

	return true
}

func (p *parser) parseSelect() bool {
	s := p.statement

	if p.acceptWords("count") {
		s.Kind = SelectCount
		return p.acceptSymbols("(", "*", ")") && p.acceptWords("from") && p.acceptName(&s.Table) && p.parseWhere()
	}

	if p.acceptSymbols("*") {
		return p.parseSelectAll()
	}

	if t := p.peek(); t.kind == tokenWord && (t.text == "key" || t.text == "value") {
		return p.parseColumns() && p.acceptWords("from") && p.acceptName(&s.Table) && p.parseWhere()
	}

	return p.parseValues()
}

func (p *parser) parseSelectAll() bool {
	s := p.statement

	if !p.acceptWords("from") {
		return false
	}

	if p.acceptWords("generate_series") {
		s.Kind = SelectSeries
		s.Expressions = make([]Expression, 2)

		return p.acceptSymbols("(") && p.parseExpression(&s.Expressions[0], TypeInt4) && p.acceptSymbols(",") &&
			p.parseExpression(&s.Expressions[1], TypeInt4) && p.acceptSymbols(")")
	}

	s.Kind = SelectRows
	s.Columns = []string{"key", "value"}

	return p.acceptName(&s.Table) && p.parseWhere()
}

func (p *parser) parseColumns() bool {
	p.statement.Kind = SelectRows

	for {
		t := p.peek()
		if !p.acceptWords("key") && !p.acceptWords("value") {
			return false
		}

		p.statement.Columns = append(p.statement.Columns, t.text)

		if !p.acceptSymbols(",") {
			return true
		}
	}
}

func (p *parser) parseValues() bool {
	p.statement.Kind = SelectValues

	for {
		var e Expression
		if !p.parseExpression(&e, 0) {
			return false
		}

		if p.acceptWords("as") && !p.acceptName(&e.Name) {
			return false
		}

		p.statement.Expressions = append(p.statement.Expressions, e)

		if !p.acceptSymbols(",") {
			return true
		}
	}
}

// parseExpression parses a literal, a parameter or a function call. A parameter without a cast has the type
// parameterType, or text if parameterType is 0.
func (p *parser) parseExpression(e *Expression, parameterType uint32) bool {
	t := p.peek()
	p.next++

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

		e.Parameter, e.Type = n, parameterType
	case tokenWord:
		if !p.parseWord(e, t.text) {
			return false
		}
	default:
		return false
	}

	if !p.parseCast(e) {
		return false
	}

	p.inferType(e)

	return true
}

func (p *parser) parseWord(e *Expression, word string) bool {
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

	if !p.acceptSymbols("(") {
		return false
	}

	for i := range e.Arguments {
		if !p.parseExpression(&e.Arguments[i], argument) {
			return false
		}
	}

	return p.acceptSymbols(")")
}

func (p *parser) parseCast(e *Expression) bool {
	if !p.acceptSymbols("::") {
		return true
	}

	var name string
	if !p.acceptName(&name) {
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

// inferType sets an unknown type to text and adds the type of a parameter to the statement's parameter types.
func (p *parser) inferType(e *Expression) {
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
