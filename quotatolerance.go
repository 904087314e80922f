package lab

import "time"

// QuotaTolerance is what the platform tolerates beyond an organisation's rate and burst. The zero value tolerates nothing.
type QuotaTolerance struct {
	Window   time.Duration // length of the windows in which operations are counted
	Overrun  float64       // tolerated share of the rate and burst of a window
	Headroom float64       // further operations that are tolerated in each window
}

// Tolerated returns the number of operations that may exceed the rate and the burst in a window.
func (t QuotaTolerance) Tolerated(p OrganisationPolicy) float64 {
	return t.Overrun*(p.Rate*t.Window.Seconds()+p.Burst) + t.Headroom
}

// Capacity returns the number of tokens that may exist at once. Half of the tolerated operations remain for two simultaneous
// leaders and for the time between the sending of operations and their arrival. Without a burst and a tolerance one token
// remains, since no operation could run otherwise.
func (t QuotaTolerance) Capacity(p OrganisationPolicy) float64 {
	return max(1, p.Burst+t.Tolerated(p)/2)
}
