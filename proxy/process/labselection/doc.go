// Package labselection selects the member that serves a read. Under low load it selects the nearest member, which
// responds fastest and costs least. A member that lags or refuses statements gets a penalty for a while. Statements in
// progress add to the expected delay of a member, so that reads go to other members while one has a backlog.
package labselection
