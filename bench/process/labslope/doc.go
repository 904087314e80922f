// Package labslope measures what the system costs per unit of size, as a basis for capacity planning.
package labslope
