// Package labslope measures how the resource use of the system grows with its size, for example with the number of
// proxies, as a basis for capacity planning.
package labslope
