package labjournal

import "io"

// FileSystem is the part of a file system that a Journal uses.
type FileSystem interface {
	// Lock keeps other processes from locking a folder until the returned Closer is closed or the process ends.
	Lock(folder string) (io.Closer, error)
	// MakeFolder creates a folder and its parents durably unless the folder exists.
	MakeFolder(path string) error
	// List returns the names of the files in a folder.
	List(folder string) ([]string, error)
	// Read returns the content of a file.
	Read(path string) ([]byte, error)
	// Create creates an empty file or empties an existing one.
	Create(path string) (File, error)
	// Open opens an existing file for appending.
	Open(path string) (File, error)
	// Rename renames a file and replaces an existing file of the new name.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(path string) error
	// SyncFolder makes creations, renames and removals in a folder durable.
	SyncFolder(path string) error
}

// File is a file open for appending.
type File interface {
	// Write appends bytes to the file.
	Write(b []byte) (int, error)
	// Truncate shortens the file to a size in bytes.
	Truncate(size int64) error
	// Sync makes the content durable.
	Sync() error
	// Close releases the file.
	Close() error
}
