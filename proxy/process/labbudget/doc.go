// Package labbudget limits automatic retries to a fraction of the requests.
package labbudget
