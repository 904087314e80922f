// Package labbounds passes acknowledged positions on to the control group, each once to each receiver. A position up to
// which every commit of a service is acknowledged is a lower bound for the log of the next primary.
package labbounds
