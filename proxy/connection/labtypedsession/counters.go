package labtypedsession

import (
	"expvar"
	"time"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/process/labmetrics"
)

// Counters count the operations of a proxy's sessions.
type Counters struct {
	Operations expvar.Int
	Refusals   expvar.Int // number of refusals by members; a refused operation is retried
	Diverted   expvar.Int // number of reads that ran at another member since a gateway had ejected the first one
	Timeouts   expvar.Int // number of reads that got no response before their deadline
	// NotPermitted is the number of COMMITs that were not sent since there was no permission.
	NotPermitted expvar.Int
	// PermissionEnded is the number of commits whose permission had ended when the member's answer arrived.
	PermissionEnded expvar.Int
	QuotaRefusals   expvar.Int            // number of operations that the quota of their organisation did not allow
	Faults          expvar.Map            // number of faults returned to clients, by name of the fault
	Latency         *labmetrics.Histogram // latency of reads, writes and executions
}

// Publish adds the counters to a map.
func (c *Counters) Publish(m *expvar.Map) {
	m.Set("operations", &c.Operations)
	m.Set("member_refusals", &c.Refusals)
	m.Set("reads_diverted", &c.Diverted)
	m.Set("read_timeouts", &c.Timeouts)
	m.Set("commits_not_permitted", &c.NotPermitted)
	m.Set("commits_unconfirmed", &c.PermissionEnded)
	m.Set("operations_over_quota", &c.QuotaRefusals)
	m.Set("faults", &c.Faults)
	m.Set("latency", c.Latency)
}

func (c *Counters) observe(o lab.Operation, r lab.OperationResult, d time.Duration) {
	c.Operations.Add(1)

	if r.Fault != lab.FaultNone {
		c.Faults.Add(r.Fault.String(), 1)
	}

	if o.Kind == lab.OperationRead || o.Kind == lab.OperationWrite || o.Kind == lab.OperationExecute {
		c.Latency.Record(d)
	}
}
