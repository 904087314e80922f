// Package labjournal stores consensus state durably in checksummed append-only files.
//
// It does not use bbolt: an append-only file needs one sync per batch where a B+ tree rewrites pages, every record is
// checksummed, and the file system can be replaced in crash tests, which bbolt's memory mapping prevents.
//
// The folder holds one journal file per generation. Its first record, the base, holds term, vote, snapshot and the
// entries after it; every later record holds what one call stored and is synced before the next is written. A snapshot
// starts the next generation: the file is written under a temporary name, synced, renamed, and the folder is synced;
// then the older file is removed.
//
// An invalid record with no valid record after it is a torn write and is cut. This includes a synced last record that
// was damaged later, since the two cannot be told apart. All other damage is reported as a DamageError.
package labjournal
