/**
Built-in functions without side effects. A call of any other function makes a statement a write, since a function can write and a read may be executed twice.
*/
export const readOnlyFunctions: ReadonlySet<string> = new Set(`
	abs acos age array_agg array_append array_cat array_length array_lower array_position array_positions array_prepend array_remove array_replace array_to_json
	array_to_string array_upper ascii asin atan atan2 avg bit_and bit_length bit_or bool_and bool_or btrim cardinality cbrt ceil ceiling char_length
	character_length chr clock_timestamp coalesce col_description concat concat_ws convert_from convert_to corr cos cot count covar_pop covar_samp cume_dist
	current_database current_schema current_schemas current_setting date date_bin date_part date_trunc decode degrees dense_rank div encode enum_range every
	exp extract first_value floor format format_type gcd generate_series generate_subscripts greatest group_status grouping has_column_privilege
	has_database_privilege has_schema_privilege has_table_privilege initcap isfinite json_agg json_array_elements json_array_elements_text json_array_length
	json_build_array json_build_object json_each json_each_text json_extract_path json_extract_path_text json_object json_object_agg json_object_keys
	json_populate_record json_populate_recordset json_strip_nulls json_to_record json_to_recordset json_typeof jsonb_agg jsonb_array_elements
	jsonb_array_elements_text jsonb_array_length jsonb_build_array jsonb_build_object jsonb_each jsonb_each_text jsonb_extract_path jsonb_extract_path_text
	jsonb_insert jsonb_object jsonb_object_agg jsonb_object_keys jsonb_path_exists jsonb_path_match jsonb_path_query jsonb_path_query_array
	jsonb_path_query_first jsonb_populate_record jsonb_populate_recordset jsonb_pretty jsonb_set jsonb_strip_nulls jsonb_to_record jsonb_to_recordset
	jsonb_typeof justify_days justify_hours justify_interval lag last_value lcm lead least left length ln localtime localtimestamp log log10 lower lpad ltrim
	make_date make_interval make_time make_timestamp make_timestamptz max md5 min mod mode now nth_value ntile nullif num_nonnulls num_nulls numnode
	obj_description octet_length overlay percent_rank percentile_cont percentile_disc pg_backend_pid pg_column_size pg_database_size pg_encoding_to_char
	pg_function_is_visible pg_get_constraintdef pg_get_expr pg_get_function_arguments pg_get_function_result pg_get_functiondef pg_get_indexdef
	pg_get_serial_sequence pg_get_triggerdef pg_get_userbyid pg_get_viewdef pg_indexes_size pg_is_in_recovery pg_relation_size pg_size_pretty
	pg_table_is_visible pg_table_size pg_total_relation_size pg_type_is_visible pg_typeof phraseto_tsquery pi plainto_tsquery position power quote_ident
	quote_literal quote_nullable radians random range_agg rank regexp_count regexp_instr regexp_like regexp_match regexp_matches regexp_replace
	regexp_split_to_array regexp_split_to_table regexp_substr regr_count regr_intercept regr_slope repeat replace reverse right round row_number
	row_to_json rpad rtrim scale sign sin split_part sqrt starts_with statement_timestamp stddev stddev_pop stddev_samp string_agg string_to_array
	string_to_table strpos substr substring sum tan timeofday timezone to_char to_date to_hex to_json to_jsonb to_number to_timestamp to_tsquery to_tsvector
	transaction_timestamp translate trim trim_array trunc ts_headline ts_rank ts_rank_cd tsvector_to_array unnest upper var_pop var_samp variance version
	websearch_to_tsquery width_bucket
`.trim().split(/\s+/v));

/** Reserved words, and types that take a length. They may precede an opening parenthesis and cannot be function names. */
export const nonFunctionWords: ReadonlySet<string> = new Set(`
	all and any array as between bit case cast char character decimal distinct else except exists float from group having in intersect interval lateral limit
	not numeric offset on only or order row select some symmetric then time timestamp to union using values varchar when where with
`.trim().split(/\s+/v));

/** Infix keywords that an opening parenthesis may follow. Where they do not follow an operand, they may be function names. */
export const infixKeywords: ReadonlySet<string> = new Set(['filter', 'ilike', 'join', 'like', 'over']);
