package labsession

import (
	"strings"
	"unicode/utf8"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/request/labframe"
	"laburnumlock.dev/lab/proxy/request/labstatement"
)

// statementSeparator ends a statement within a text, even one that ends in a line comment.
const statementSeparator = "\n;\n"

// messageBatch is a group of caller messages that is run at once.
type messageBatch struct {
	simple         bool
	text           string         // of a simple query
	messages       []byte         // rewritten extended messages
	steps          []responseStep // answers to expect
	referenced     []lab.Statement
	statements     []labstatement.Statement // of known statements
	executeCount   int                      // Execute messages, also of portals bound by an earlier unit
	portals        map[string]*preparedStatement
	inlineNames    map[string]string             // upstream names of statements parsed after an Execute of this unit
	parsed         map[string]*preparedStatement // statements created by this unit, by the caller's name
	tags           labstatement.Tags             // of executed statements
	referencedTags labstatement.Tags             // of all statements referred to
	failure        *failure                      // found before running; the unit is answered with it
}

// onlyReads reports whether the unit runs nothing but reads, and SET, which the upstream only checks.
func (b *messageBatch) onlyReads() bool {
	for _, e := range b.statements {
		if e.Kind() != labstatement.Read && e.Kind() != labstatement.Set {
			return false
		}
	}

	return len(b.statements) == b.executeCount && (!b.simple || b.executeCount < 2)
}

// idempotent reports whether running the unit twice has the effect of running it once.
func (b *messageBatch) idempotent() bool {
	for _, e := range b.statements {
		if !e.Pure() {
			return false
		}
	}

	return b.onlyReads()
}

func (b *messageBatch) changesSession() bool {
	for _, e := range b.statements {
		if e.Changes() {
			return true
		}
	}

	return false
}

// isSingle reports whether the unit consists of a statement that ends the transaction.
func (b *messageBatch) isSingle(kinds ...labstatement.Kind) bool {
	if len(b.statements) != 1 {
		return false
	}

	for _, k := range kinds {
		if b.statements[0].Kind() == k {
			return true
		}
	}

	return false
}

// canRunOnReplica reports whether the transaction that the unit opens can run on a replica.
func (b *messageBatch) canRunOnReplica(block *transactionBlock) bool {
	if block.pendingBegin != "" {
		return block.beginReadOnly
	}

	if len(b.statements) > 0 && b.statements[0].Kind() == labstatement.BeginReadOnly {
		return !b.simple || len(b.statements) == 1
	}

	return b.onlyReads()
}

// addReferenced lists a statement that the unit uses.
func (b *messageBatch) addReferenced(p *preparedStatement) {
	b.referencedTags.Add(p.text.Tags())

	for _, r := range b.referenced {
		if r.Name == p.name {
			return
		}
	}

	b.referenced = append(b.referenced, p.forGateway())
}

// withPrefix puts statements before the unit whose answers the caller does not get.
func (b *messageBatch) withPrefix(texts []string) *messageBatch {
	if len(texts) == 0 {
		return b
	}

	p := *b

	if b.simple {
		p.text = strings.Join(texts, statementSeparator) + statementSeparator + b.text
		p.steps = append(hiddenSteps(len(texts)), b.steps...)

		return &p
	}

	p.messages = nil
	for _, t := range texts {
		p.messages = labframe.Append(p.messages, typeParse, []byte{0}, []byte(t), []byte{0, 0, 0})
		p.messages = labframe.Append(p.messages, typeBind, []byte{0, 0, 0, 0, 0, 0, 0, 0})
		p.messages = labframe.Append(p.messages, typeExecute, []byte{0, 0, 0, 0, 0})
	}

	p.messages = append(p.messages, b.messages...)
	p.steps = append(hiddenSteps(len(texts)), b.steps...)

	return &p
}

// prefixLength is the number of characters that prefixed put before the text.
func (b *messageBatch) prefixLength(original *messageBatch) int {
	return utf8.RuneCountInString(b.text) - utf8.RuneCountInString(original.text)
}

// forGateway returns the unit as the gateway gets it.
func (b *messageBatch) forGateway(changes bool) lab.Unit {
	request := lab.Unit{Reads: b.onlyReads(), Changes: changes || b.changesSession(), Simple: b.simple, Statements: b.referenced}
	if b.simple {
		request.Messages = labframe.Append(nil, typeQuery, []byte(b.text), []byte{0})
	} else {
		request.Messages = labframe.Append(b.messages, typeSync)
	}

	return request
}
