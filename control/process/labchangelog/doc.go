// Package labchangelog remembers which items of a collection changed last, so that those who know an earlier revision
// needn't compare the whole collection.
package labchangelog
