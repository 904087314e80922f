// Package labpack compresses configuration documents and other long, repetitive data that each process receives.
package labpack
