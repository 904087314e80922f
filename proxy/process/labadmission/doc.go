// Package labadmission grants the slots of members to requests. Each admission class has a minimum share, organisations
// share a class by weight, and the requests of an organisation run in order of deadline. A request that cannot start by
// its deadline is rejected at once. The queue limit of a request bounds the waiting requests of its organisation in its
// class, so that many interactive reads do not keep the organisation's own deferrable work out of the queue.
package labadmission
