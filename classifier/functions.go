package classifier

// readOnlyFunctions is an allowlist of functions that neither write nor lock nor
// depend on the session. A call of any other function makes a statement a write.
var readOnlyFunctions = set(
	"abs", "age", "array_agg", "array_length", "avg", "bool_and", "bool_or", "btrim", "cardinality",
	"ceil", "ceiling", "char_length", "clock_timestamp", "coalesce", "concat", "concat_ws", "count",
	"cume_dist", "current_database", "current_schema", "date", "date_part", "date_trunc", "dense_rank",
	"encode", "exp", "extract", "first_value", "floor", "format", "format_type", "generate_series",
	"greatest", "initcap", "json_agg", "json_array_elements", "json_build_array", "json_build_object",
	"json_extract_path", "jsonb_agg", "jsonb_array_elements", "jsonb_build_array", "jsonb_build_object",
	"jsonb_extract_path", "lag", "last_value", "lead", "least", "left", "length", "ln", "log", "lower",
	"lpad", "ltrim", "make_date", "make_interval", "max", "md5", "min", "mod", "now", "nth_value", "ntile",
	"nullif", "num_nonnulls", "obj_description", "octet_length", "percent_rank", "pg_get_expr",
	"pg_get_userbyid", "pg_sleep", "pg_table_is_visible", "pi", "position", "power", "rank",
	"regexp_match", "regexp_matches", "regexp_replace", "regexp_split_to_array", "repeat", "replace",
	"reverse", "right", "round", "row_number", "row_to_json", "rpad", "rtrim", "sign", "split_part",
	"sqrt", "statement_timestamp", "stddev", "string_agg", "string_to_array", "strpos", "substr",
	"substring", "sum", "to_char", "to_date", "to_json", "to_jsonb", "to_number", "to_timestamp",
	"transaction_timestamp", "translate", "trim", "trunc", "unnest", "upper", "variance", "version",
)

func set(names ...string) map[string]bool {
	out := make(map[string]bool, len(names))
	for _, name := range names {
		out[name] = true
	}
	return out
}
