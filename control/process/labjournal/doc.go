// Package labjournal stores consensus state durably in checksummed append-only files.
//
// The package does not use bbolt, for three reasons. An append-only file needs one sync per batch, while a B+ tree
// rewrites pages. Every record has a checksum. Crash tests can replace the file system, which the memory mapping of
// bbolt prevents.
//
// The folder holds one journal file per generation. The first record of a file, the base, holds the term, the vote,
// the snapshot and the entries after the snapshot. Every later record holds the data of one call of SaveState or
// Append and is synced before the next record is written. A new snapshot starts the next generation: its file is
// written under a temporary name, synced and renamed, and the folder is synced. Then the older file is removed.
//
// An invalid record without a valid record after it counts as a torn write and is truncated. This includes a last
// record that was synced and damaged later, because the two cases cannot be told apart. All other damage is reported as
// a DamageError.
package labjournal
