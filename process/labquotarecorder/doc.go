// Package labquotarecorder counts what became of the tokens of organisations' quotas, and logs when refusals begin and end.
package labquotarecorder
