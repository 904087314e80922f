package labjournal

import "io"

// FileSystem is the part of a file system that a Journal uses.
type FileSystem interface {
	// Lock keeps other processes from using a folder until the result is closed or the process ends.
	Lock(folder string) (io.Closer, error)
	// MakeFolder creates a folder durably unless it exists.
	MakeFolder(path string) error
	// List returns the names in a folder.
	List(folder string) ([]string, error)
	// Read returns a file's content.
	Read(path string) ([]byte, error)
	// Create creates an empty file or empties an existing one.
	Create(path string) (File, error)
	// Open opens an existing file for appending.
	Open(path string) (File, error)
	// Rename gives a file another name, replacing what had it.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(path string) error
	// SyncFolder makes creations, renames and removals in a folder durable.
	SyncFolder(path string) error
}

// File is a file open for appending.
type File interface {
	// Write appends.
	Write(b []byte) (int, error)
	// Truncate cuts the file to a size in bytes.
	Truncate(size int64) error
	// Sync makes the content durable.
	Sync() error
	// Close releases the file.
	Close() error
}
