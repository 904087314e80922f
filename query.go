package lab

// PositionQuery reads a member's role and positions in one row: whether it is in recovery, its timeline, and its
// replayed and received write-ahead log positions as pg_lsn text (both are the current position on a primary).
//
// A replica whose primary is gone has no WAL receiver, so its timeline also comes from the control file, and a replica
// that has not streamed since its start has no received position, so that is at least the replayed one. The control
// file may lag behind after a promotion; a term that is too old makes a member unfit for reads, never wrongly fit.
const PositionQuery = `SELECT pg_is_in_recovery() AS in_recovery, ` +
	`CASE WHEN pg_is_in_recovery() THEN greatest((SELECT received_tli FROM pg_stat_wal_receiver), ` +
	`(SELECT min_recovery_end_timeline FROM pg_control_recovery()), ` +
	`(SELECT timeline_id FROM pg_control_checkpoint())) ` +
	`ELSE ('x' || substr(pg_walfile_name(pg_current_wal_lsn()), 1, 8))::bit(32)::int END AS timeline, ` +
	`CASE WHEN pg_is_in_recovery() THEN pg_last_wal_replay_lsn() ELSE pg_current_wal_lsn() END AS replayed, ` +
	`CASE WHEN pg_is_in_recovery() THEN greatest(pg_last_wal_receive_lsn(), pg_last_wal_replay_lsn()) ELSE pg_current_wal_lsn() END AS received`

// PromoteQuery makes a replica leave recovery and waits up to 60 s for it.
const PromoteQuery = `SELECT pg_promote(true, 60)`

// ReservedConnections is how many of a member's connections the gateway leaves free: one for the gateway that holds
// the primary's region and polls positions, one for control during a promotion.
const ReservedConnections = 2

// SwitchPointQuery reads, on a member that was promoted, the position up to which it replayed its former primary.
const SwitchPointQuery = `SELECT pg_last_wal_replay_lsn() AS switch_point`
