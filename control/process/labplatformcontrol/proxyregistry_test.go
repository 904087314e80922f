package labplatformcontrol

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
)

func (w *proxyRegistry) countReports(service, member string) (failing, reaching int) {
	c := w.count(service, member)

	return c.failing, c.reaching
}

func (w *proxyRegistry) reportedUnreachable(service, member string) bool {
	return w.count(service, member).unreachable
}

// TestReportIndex guards against a primary that is replaced because of reports that a proxy has withdrawn.
func TestReportIndex(t *testing.T) {
	c := &manualClock{now: time.Minute}
	w := &proxyRegistry{clock: c}
	failing := lab.PrimaryReport{Service: "s", Member: "m", UnreachableFor: time.Second}
	report := func(reports ...lab.PrimaryReport) { w.record(lab.WatchRequest{Proxy: proxy("a"), Primaries: reports}) }
	assertCounts := func(service string, want reportCount) {
		t.Helper()
		assert.Equal(t, w.count(service, "m"), want)
	}

	report(failing, lab.PrimaryReport{Service: "t", Member: "m"})
	assertCounts("s", reportCount{failing: 1, unreachable: true})
	assertCounts("t", reportCount{reaching: 1})

	report(lab.PrimaryReport{Service: "s", Member: "m"})
	assertCounts("s", reportCount{reaching: 1})
	assertCounts("t", reportCount{})

	c.now += 2 * time.Second
	assertCounts("s", reportCount{})
	report(lab.PrimaryReport{Service: "s", Member: "m"})
	assertCounts("s", reportCount{reaching: 1})

	report(failing)
	w.record(lab.WatchRequest{Proxy: proxy("a"), Draining: true})
	assertCounts("s", reportCount{})

	report(failing)

	c.now += proxyExpiry + 1
	w.removeSilent()
	assert.Equal(t, len(w.reports), 0)
}
