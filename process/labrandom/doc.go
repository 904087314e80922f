// Package labrandom provides random numbers, seeded by the operating system or by a test.
package labrandom
