package labquotaclient

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/process/labclock"
	"laburnumlock.dev/lab/process/labquotarecorder"
)

// fakeInstances are control instances by address.
type fakeInstances struct {
	lab.PeerClient

	mutex    sync.Mutex
	answers  map[string]func(lab.QuotaRequest) (lab.QuotaResponse, bool) // false if the instance is frozen
	requests map[string][]lab.QuotaRequest
}

// atOnce is longer than a busy machine takes for operations that wait for nothing, and shorter than a call to a frozen
// instance.
const atOnce = callTimeout / 2

var errLost = errors.New("connection lost")

func (f *fakeInstances) Call(ctx context.Context, address string, _ lab.Method, request, response any) error {
	r := request.(lab.QuotaRequest)

	f.mutex.Lock()
	f.requests[address] = append(f.requests[address], r)
	a, ok := f.answers[address](r)
	f.mutex.Unlock()

	if !ok {
		<-ctx.Done()

		return errLost
	}

	*response.(*lab.QuotaResponse) = a

	return nil
}

func (f *fakeInstances) set(address string, answer func(lab.QuotaRequest) (lab.QuotaResponse, bool)) {
	f.mutex.Lock()
	defer f.mutex.Unlock()

	f.answers[address] = answer
}

// needs returns the number of tokens that operations waited for in the requests to an instance.
func (f *fakeInstances) needs(address string) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()

	n := 0

	for _, r := range f.requests[address] {
		for _, t := range r.Items {
			n += t.Need
		}
	}

	return n
}

var number uint64

func grants(r lab.QuotaRequest) (lab.QuotaResponse, bool) {
	var a lab.QuotaResponse

	for i, t := range r.Items {
		if t.Need+t.Want > 0 {
			number++
			a.Grants = append(a.Grants, lab.QuotaGrant{Item: i, Number: number, Granted: t.Need + t.Want, ValidFor: time.Second})
		}
	}

	return a, true
}

func refuses(noContact bool) func(lab.QuotaRequest) (lab.QuotaResponse, bool) {
	return func(r lab.QuotaRequest) (lab.QuotaResponse, bool) {
		var a lab.QuotaResponse

		for i, t := range r.Items {
			if t.Need > 0 {
				a.Refusals = append(a.Refusals, lab.QuotaRefusal{Item: i, RetryAfter: 110 * time.Millisecond, NoContact: noContact})
			}
		}

		return a, true
	}
}

func frozen(lab.QuotaRequest) (lab.QuotaResponse, bool) { return lab.QuotaResponse{}, false }

var organisation = lab.OrganisationPolicy{Name: "o", Rate: 10}

func newClient(t *testing.T) (*Client, *fakeInstances) {
	t.Helper()

	f := &fakeInstances{
		answers:  map[string]func(lab.QuotaRequest) (lab.QuotaResponse, bool){"a": grants, "b": grants, "c": grants},
		requests: map[string][]lab.QuotaRequest{},
	}
	clock := labclock.NewBootClock()
	c := &Client{
		Instance: "p", Peers: f, Instances: func() []string { return []string{"a", "b", "c"} }, Clock: clock,
		Recorder: &labquotarecorder.Recorder{Clock: clock, Log: zerolog.Nop()},
	}
	c.Prepare()

	return c, f
}

func assertTaken(t *testing.T, c *Client) lab.QuotaToken {
	t.Helper()

	token, err := c.Take(t.Context(), organisation)
	assert.NilError(t, err)
	assert.Equal(t, token.Organisation, "o")

	return token
}

func assertRefused(t *testing.T, c *Client, want error) {
	t.Helper()

	start := time.Now()

	_, err := c.Take(t.Context(), organisation)
	assert.ErrorIs(t, err, want)

	o, _ := lab.OutcomeOf(err)
	assert.Equal(t, o, lab.OutcomeNotRun)
	assert.Assert(t, time.Since(start) < callTimeout, "%s", time.Since(start))
}

func TestClient(t *testing.T) {
	t.Run("no limit", func(t *testing.T) {
		c, f := newClient(t)

		for _, o := range []lab.OrganisationPolicy{{}, {Name: "o"}} {
			token, err := c.Take(t.Context(), o)
			assert.NilError(t, err)
			c.End(token, true)
		}

		assert.Equal(t, len(f.requests), 0)
	})

	t.Run("a token that comes back is used again", func(t *testing.T) {
		c, f := newClient(t)

		for range 5 {
			c.End(assertTaken(t, c), false)
		}

		assert.Equal(t, f.needs("a"), 1)
	})

	t.Run("the limit is reached", func(t *testing.T) {
		c, f := newClient(t)
		f.set("a", refuses(false))

		// Further operations are refused without a request.
		for range 5 {
			assertRefused(t, c, errLimit)
		}

		assert.Equal(t, f.needs("a"), 1)
		assert.Equal(t, f.needs("b"), 0)
	})

	t.Run("the first instance has no contact", func(t *testing.T) {
		c, f := newClient(t)
		f.set("a", refuses(true))

		start := time.Now()

		assertTaken(t, c)
		assertTaken(t, c)
		assert.Assert(t, time.Since(start) < atOnce)
		assert.Equal(t, f.needs("b"), 2)
	})

	t.Run("no instance has contact", func(t *testing.T) {
		c, f := newClient(t)
		f.set("a", refuses(true))
		f.set("b", refuses(true))
		assertRefused(t, c, errNoContact)
		f.set("a", grants)
		time.Sleep(unreachedTime + 20*time.Millisecond)
		assertTaken(t, c)
	})

	t.Run("an operation that ends", func(t *testing.T) {
		c, f := newClient(t)
		f.set("a", frozen)

		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()

		_, err := c.Take(ctx, organisation)
		assert.ErrorIs(t, err, errNoContact)
		assert.Equal(t, len(c.waiters), 0)
	})
}

// TestFrozenInstance guards against operations that wait for an instance that doesn't answer while another one has tokens.
func TestFrozenInstance(t *testing.T) {
	// While a frozen second instance kept its requests open, the first was not asked for the tokens of later operations.
	t.Run("second", func(t *testing.T) {
		c, f := newClient(t)
		f.set("a", refuses(true))
		f.set("b", frozen)
		assertRefused(t, c, errNoContact)
		f.set("a", grants)

		start := time.Now()

		assertTaken(t, c)
		assert.Assert(t, time.Since(start) < atOnce, "%s", time.Since(start))
	})

	t.Run("first", func(t *testing.T) {
		c, f := newClient(t)
		f.set("a", frozen)
		assertTaken(t, c)

		start := time.Now()

		for range 10 {
			assertTaken(t, c)
		}

		assert.Assert(t, time.Since(start) < atOnce, "%s", time.Since(start))
	})

	t.Run("both", func(t *testing.T) {
		c, f := newClient(t)
		f.set("a", frozen)
		f.set("b", frozen)
		assertRefused(t, c, errNoContact)
		time.Sleep(firstWait / 2) // the second has been asked for less than firstWait

		start := time.Now()

		assertTaken(t, c)
		assert.Assert(t, time.Since(start) < atOnce, "%s", time.Since(start))
		assert.Equal(t, f.needs("c"), 1)
	})
}
