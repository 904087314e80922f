// Package labpack compresses configuration documents, which are long, repetitive and copied to every process.
package labpack
