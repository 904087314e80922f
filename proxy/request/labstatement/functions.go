package labstatement

import "strings"

// deniedPrefixes are name prefixes of built-in functions whose effect lasts beyond the query, or whose result depends
// on the member that executes the query. A statement that calls one of them is not a read.
var deniedPrefixes = []string{
	"pg_advisory_", "pg_try_advisory_", "lo_", "dblink", "pg_logical_", "pg_replication_", "pg_create_", "pg_drop_",
	"pg_wal_replay_", "pg_switch_", "pg_backup_", "pg_start_", "pg_stop_",
}

// deniedNames are the names of functions that are denied for the same reasons as those with deniedPrefixes.
var deniedNames = wordSet("nextval setval currval lastval set_config pg_notify txid_current txid_current_if_assigned " +
	"pg_current_xact_id pg_current_xact_id_if_assigned pg_cancel_backend pg_terminate_backend pg_reload_conf " +
	"pg_rotate_logfile pg_promote pg_export_snapshot pg_is_in_recovery pg_current_wal_lsn pg_current_wal_insert_lsn " +
	"pg_current_wal_flush_lsn pg_stat_reset pg_stat_reset_shared loread lowrite")

// sessionCalls are the names of functions whose change to the upstream session outlasts the transaction.
var sessionCalls = wordSet("set_config pg_advisory_lock pg_advisory_lock_shared pg_try_advisory_lock " +
	"pg_try_advisory_lock_shared")

// sideEffectFreeNames are the words before a parenthesis that cause no side effect: keywords, and built-in functions
// without side effects.
var sideEffectFreeNames = wordSet("select from where and or not in any all some exists as on using values with over filter " +
	"within by having when then else case distinct join lateral union except intersect limit offset like " +
	"materialized " + //nolint:misspell // keyword
	"between array row cast extract " +
	"count sum avg min max coalesce nullif greatest least abs ceil ceiling floor round trunc mod power sqrt sign " +
	"length char_length octet_length lower upper initcap trim btrim ltrim rtrim substring substr position strpos " +
	"replace translate concat concat_ws left right lpad rpad repeat reverse split_part starts_with to_char to_date " +
	"to_timestamp to_number date_part date_trunc age now current_setting make_date make_timestamp make_interval " +
	"array_agg string_agg json_agg jsonb_agg json_object_agg jsonb_object_agg bool_and bool_or every array_length " +
	"cardinality array_position array_to_string string_to_array unnest generate_series row_number rank dense_rank " +
	"percent_rank ntile lag lead first_value last_value nth_value row_to_json to_json to_jsonb json_build_object " +
	"jsonb_build_object json_build_array jsonb_build_array json_array_elements jsonb_array_elements " +
	"jsonb_extract_path jsonb_extract_path_text md5 sha256 encode decode format quote_ident quote_literal " +
	"regexp_replace regexp_matches regexp_match varchar char numeric decimal timestamp timestamptz interval bit " +
	"version pg_sleep format_type pg_get_expr pg_typeof pg_table_is_visible pg_get_constraintdef pg_get_indexdef " +
	"obj_description col_description has_table_privilege to_regclass")

func isDenied(name string) bool {
	if deniedNames[name] {
		return true
	}

	for _, p := range deniedPrefixes {
		if strings.HasPrefix(name, p) {
			return true
		}
	}

	return false
}

func wordSet(names string) map[string]bool {
	m := make(map[string]bool)
	for _, n := range strings.Fields(names) {
		m[n] = true
	}

	return m
}
