package labscenario_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab/bench/process/labscenario"
)

// Guards against a bound that is never reported as missed.
func TestMissedBounds(t *testing.T) {
	missed := func(want int, r labscenario.Report) {
		t.Helper()
		assert.Equal(t, len(r.MissedBounds()), want)
	}

	missed(0, labscenario.Report{Scenario: labscenario.PrimaryLost, FailoverGapMS: 1300})
	missed(1, labscenario.Report{Scenario: labscenario.PrimaryLost, FailoverGapMS: 10_001})
	missed(1, labscenario.Report{Scenario: labscenario.PrimaryLost, FailoverGapMS: -1})
	missed(0, labscenario.Report{Scenario: labscenario.Overload, GoodputRatio: 0.95})
	missed(1, labscenario.Report{Scenario: labscenario.Overload, GoodputRatio: 0.94})
	missed(0, labscenario.Report{Scenario: labscenario.Steady, BoundedStalenessReplicaShare: 0.95, OtherReplicaShare: 0.8})
	missed(2, labscenario.Report{Scenario: labscenario.Steady, BoundedStalenessReplicaShare: 0.94, OtherReplicaShare: 0.79})
}
