// Package labsample derives what one exchange with a member says about the member's speed and health.
package labsample
