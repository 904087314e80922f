package labcatalog

import (
	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

// Promotion is the state of a running promotion, which replaces the primary of a database.
type Promotion struct {
	Term        lab.PrimaryTerm `json:"term"        msgpack:"t"` // lowest number that the new primary term may have
	OldPrimary  string          `json:"old_primary" msgpack:"o"` // name of the primary to be replaced
	Chosen      string          `json:"chosen"      msgpack:"c"` // name of the member to promote; empty until it is chosen
	Incarnation uint64          `json:"incarnation" msgpack:"i"` // incarnation of the chosen member
	Position    lab.WALPosition `json:"position"    msgpack:"p"` // WAL end of the chosen member at the time of the choice
	ChoiceIndex uint64          `json:"choice"      msgpack:"n"` // log index of the PromotionChosen command; 0 if none
	Reason      string          `json:"reason"      msgpack:"r"` // why the old primary is replaced, for example "lost"
}

// PromotionStarted records that a promotion has started. From then on, control grants no writes in the current primary
// term.
type PromotionStarted struct {
	Database string          `msgpack:"d"`
	Term     lab.PrimaryTerm `msgpack:"t"` // the current primary term plus 1
	Primary  string          `msgpack:"p"` // primary of the current term
	Reason   string          `msgpack:"r"`
}

// PromotionChosen records which member was chosen to be promoted.
type PromotionChosen struct {
	Database        string          `msgpack:"d"`
	Term            lab.PrimaryTerm `msgpack:"t"`
	Member          string          `msgpack:"m"`
	Incarnation     uint64          `msgpack:"i"`
	Position        lab.WALPosition `msgpack:"p"`
	BaseChoiceIndex uint64          `msgpack:"b"` // log index of the choice that this one replaces; 0 if none
}

// PromotionCancelled records that a promotion was cancelled and that the old primary continues its primary term.
type PromotionCancelled struct {
	Database string          `msgpack:"d"`
	Term     lab.PrimaryTerm `msgpack:"t"`
	Primary  string          `msgpack:"p"`
}

// TermStarted records that a member became the primary of a new primary term.
type TermStarted struct {
	Database    string          `msgpack:"d"`
	Term        lab.PrimaryTerm `msgpack:"t"` // timeline that the new primary reports
	Offset      uint64          `msgpack:"o"` // WAL offset in bytes at which the term starts
	Primary     string          `msgpack:"p"`
	ChoiceIndex uint64          `msgpack:"c"` // log index of the choice of Primary; 0 for the first primary term
}

// ErrInvalidStep is returned for a step of a promotion, or of the departure of a member, that doesn't fit the current
// state of the catalog.
var ErrInvalidStep = errors.New("promotion step does not follow from the catalog")

func (c *Catalog) promotionStarted(index uint64, s *PromotionStarted) error {
	return c.editDatabase(index, s.Database, func(g *group) error {
		if len(g.database.History) == 0 || g.promotion != nil || g.database.CurrentTerm()+1 != s.Term || g.database.Primary != s.Primary {
			return errors.Newf("start promotion of %s to term %d: %w", s.Database, s.Term, ErrInvalidStep)
		}
		g.promotion = &Promotion{Term: s.Term, OldPrimary: s.Primary, Reason: s.Reason}
		g.database.Primary = ""

		return nil
	})
}

func (c *Catalog) promotionChosen(index uint64, s *PromotionChosen) error {
	return c.editDatabase(index, s.Database, func(g *group) error {
		p := g.promotion
		if p == nil || p.Term != s.Term || p.ChoiceIndex != s.BaseChoiceIndex {
			return errors.Newf("choose %s of %s for term %d: %w", s.Member, s.Database, s.Term, ErrInvalidStep)
		}
		g.promotion = &Promotion{
			Term: p.Term, OldPrimary: p.OldPrimary, Reason: p.Reason,
			Chosen: s.Member, Incarnation: s.Incarnation, Position: s.Position, ChoiceIndex: index,
		}

		return nil
	})
}

func (c *Catalog) promotionCancelled(index uint64, s *PromotionCancelled) error {
	return c.editDatabase(index, s.Database, func(g *group) error {
		p := g.promotion
		if p == nil || p.Term != s.Term || p.OldPrimary != s.Primary {
			return errors.Newf("reinstate %s of %s: %w", s.Primary, s.Database, ErrInvalidStep)
		}
		g.promotion = nil
		g.database.Primary = s.Primary

		return nil
	})
}

func (c *Catalog) termStarted(index uint64, s *TermStarted) error {
	return c.editDatabase(index, s.Database, func(g *group) error {
		p := g.promotion
		first := len(g.database.History) == 0 && p == nil && s.ChoiceIndex == 0 && s.Term > 0
		follows := p != nil && p.Chosen == s.Primary && p.ChoiceIndex == s.ChoiceIndex && s.ChoiceIndex > 0 && s.Term >= p.Term
		if !first && !follows {
			return errors.Newf("start term %d of %s: %w", s.Term, s.Database, ErrInvalidStep)
		}
		history := make(lab.TermHistory, 0, len(g.database.History)+1)
		history = append(history, g.database.History...)
		g.database.History = append(history, lab.TermStart{Term: s.Term, Offset: s.Offset})
		g.database.Primary = s.Primary
		g.promotion = nil

		return nil
	})
}
