package labsession

import (
	"strings"
	"unicode/utf8"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/request/labframe"
	"laburnumlock.dev/lab/proxy/request/labstatement"
)

// statementSeparator separates statements within a query text. Its first newline ends a line comment at the end of the
// preceding statement.
const statementSeparator = "\n;\n"

// messageBatch is a sequence of client messages that is sent to a gateway as one request: either one Query message, or
// the extended-protocol messages up to a Sync or Flush.
type messageBatch struct {
	simple              bool                          // the batch is a single Query message
	text                string                        // query text of a simple batch
	messages            []byte                        // extended-protocol messages as sent to the upstream
	steps               []responseStep                // expected parts of the response, in order
	referenced          []lab.PreparedStatement       // prepared statements that must exist on the gateway's connection
	statements          []labstatement.Statement      // executed statements whose text is known
	executeCount        int                           // number of executed statements, with or without a known text
	portals             map[string]*preparedStatement // statement that each known portal was bound to, by portal name
	inlineUpstreamNames map[string]string             // upstream names of statements parsed after Execute, by client name
	parsed              map[string]*preparedStatement // statements that the batch creates, by the client's name
	tags                labstatement.Tags             // tags of the executed statements
	referencedTags      labstatement.Tags             // tags of all referenced statements
	failure             *failure                      // error found before the batch was run; it becomes the response
}

// onlyReads reports whether the batch executes only reads and SET statements. A SET changes no data: the upstream runs
// it only to check the value, and the session replays the setting in each later transaction.
func (b *messageBatch) onlyReads() bool {
	for _, e := range b.statements {
		if e.Kind() != labstatement.Read && e.Kind() != labstatement.Set {
			return false
		}
	}

	return len(b.statements) == b.executeCount && (!b.simple || b.executeCount < 2)
}

// idempotent reports whether running the batch twice has the same effect as running it once.
func (b *messageBatch) idempotent() bool {
	for _, e := range b.statements {
		if !e.IsSideEffectFree() {
			return false
		}
	}

	return b.onlyReads()
}

// changesSession reports whether the batch may leave state behind in the upstream session.
func (b *messageBatch) changesSession() bool {
	for _, e := range b.statements {
		if e.ChangesSession() {
			return true
		}
	}

	return false
}

// isSingle reports whether the batch executes exactly one known statement, and its kind is one of kinds.
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

// canRunOnReplica reports whether the transaction that the batch opens can run on a replica.
func (b *messageBatch) canRunOnReplica(block *transactionBlock) bool {
	if block.pendingBegin != "" {
		return block.beginReadOnly
	}

	if len(b.statements) > 0 && b.statements[0].Kind() == labstatement.BeginReadOnly {
		return !b.simple || len(b.statements) == 1
	}

	return b.onlyReads()
}

// addReferenced adds a prepared statement to those that the gateway must provide.
func (b *messageBatch) addReferenced(p *preparedStatement) {
	b.referencedTags.FillFrom(p.text.Tags())

	for _, r := range b.referenced {
		if r.Name == p.name {
			return
		}
	}

	b.referenced = append(b.referenced, p.forGateway())
}

// withPrefix returns the batch with the statements in texts prepended. The responses to the prepended statements are
// not sent to the client.
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

// prefixLength returns the number of characters that withPrefix prepended to the text of the original batch.
func (b *messageBatch) prefixLength(original *messageBatch) int {
	return utf8.RuneCountInString(b.text) - utf8.RuneCountInString(original.text)
}

// forGateway returns the request that is sent to the gateway. The gateway resets the upstream session after the batch
// if the batch itself changes session state, or if replaysSettings is set because SET statements were prepended.
func (b *messageBatch) forGateway(replaysSettings bool) lab.MessageBatch {
	request := lab.MessageBatch{
		ReadOnly: b.onlyReads(), ChangesSession: replaysSettings || b.changesSession(),
		SimpleQuery: b.simple, Statements: b.referenced,
	}
	if b.simple {
		request.Messages = labframe.Append(nil, typeQuery, []byte(b.text), []byte{0})
	} else {
		request.Messages = labframe.Append(b.messages, typeSync)
	}

	return request
}
