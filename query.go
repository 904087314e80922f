package lab

// PositionQuery reads the role and the WAL positions of a member in one row: whether it is in recovery, its timeline,
// and the positions up to which it has replayed and received WAL, as pg_lsn text. On a primary, both positions are the
// current WAL position.
//
// A replica without a connection to its primary has no WAL receiver, so the query also reads the timeline from the
// control file. A replica that has not streamed since its start has no received position, so the query uses the
// replayed position instead. The control file may lag behind after a promotion. This is safe: a term that is too old
// only excludes the member from reads.
const PositionQuery = `SELECT pg_is_in_recovery() AS in_recovery, ` +
	`CASE WHEN pg_is_in_recovery() THEN greatest((SELECT received_tli FROM pg_stat_wal_receiver), ` +
	`(SELECT min_recovery_end_timeline FROM pg_control_recovery()), ` +
	`(SELECT timeline_id FROM pg_control_checkpoint())) ` +
	`ELSE ('x' || substr(pg_walfile_name(pg_current_wal_lsn()), 1, 8))::bit(32)::int END AS timeline, ` +
	`CASE WHEN pg_is_in_recovery() THEN pg_last_wal_replay_lsn() ELSE pg_current_wal_lsn() END AS replayed, ` +
	`CASE WHEN pg_is_in_recovery() THEN greatest(pg_last_wal_receive_lsn(), pg_last_wal_replay_lsn()) ELSE pg_current_wal_lsn() END AS received`

// PromoteQuery makes a replica leave recovery and waits up to 60 s for it.
const PromoteQuery = `SELECT pg_promote(true, 60)`

// ReservedConnections is the number of a member's connections that the connection pool leaves free: one for the gateway
// of the primary's region, which polls positions, and one for control, which promotes members.
const ReservedConnections = 2

// SwitchPointQuery reads, on a promoted member, the position up to which it had replayed the WAL of the former primary.
const SwitchPointQuery = `SELECT pg_last_wal_replay_lsn() AS switch_point`
