package lab

// PositionQuery reads a member's role and positions in one row: whether it is in recovery, its timeline, and its
// replayed and received write-ahead log positions as pg_lsn text (both are the current position on a primary).
const PositionQuery = `SELECT pg_is_in_recovery() AS in_recovery, ` +
	`CASE WHEN pg_is_in_recovery() THEN coalesce((SELECT received_tli FROM pg_stat_wal_receiver), 0) ` +
	`ELSE ('x' || substr(pg_walfile_name(pg_current_wal_lsn()), 1, 8))::bit(32)::int END AS timeline, ` +
	`CASE WHEN pg_is_in_recovery() THEN pg_last_wal_replay_lsn() ELSE pg_current_wal_lsn() END AS replayed, ` +
	`CASE WHEN pg_is_in_recovery() THEN pg_last_wal_receive_lsn() ELSE pg_current_wal_lsn() END AS received`

// PromoteQuery makes a replica leave recovery and waits up to 60 s for it.
const PromoteQuery = `SELECT pg_promote(true, 60)`

// ReservedConnections is how many of a member's connections the gateway leaves free: one for the gateway that holds
// the primary's region and polls positions, one for control during a promotion.
const ReservedConnections = 2

// SwitchPointQuery reads, on a member that was promoted, the position up to which it replayed its former primary.
const SwitchPointQuery = `SELECT pg_last_wal_replay_lsn() AS switch_point`
