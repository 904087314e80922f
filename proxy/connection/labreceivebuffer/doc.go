// Package labreceivebuffer keeps received bytes in chunks, since a slice that grows by copying takes up to twice its size.
package labreceivebuffer
