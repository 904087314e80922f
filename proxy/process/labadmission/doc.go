// Package labadmission grants the slots of members to requests. Classes of work have minimum shares, organisations share
// a class by weight, and an organisation's requests run in order of deadline. A request that cannot start by its
// deadline is refused at once. The queue limit of a request bounds its organisation's waiting requests in its class, so
// that a flood of reads does not shut out the organisation's own work that may wait.
package labadmission
