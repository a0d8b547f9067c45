//! Every fault of a sheet is reported with its row and column, and all faults are reported at once.

use cowslip_config::{FleetSheet, SheetFault};
use rstest::rstest;

const HEADER: &str = "kind,name,domain,address,engine,fencing,memory_mib,slots,fresh_slots,ramp_ms,\
kv_mib_per_slot,kv_slots,max_replicas,load_ms,model,rate,burst,path,methods,teams,open,models,services,\
idempotent,deadline_ms,call_tokens,value";

/// A valid sheet in rows of `column=value`; the header is row 1, and the first of these is row 2.
const VALID_ROWS: &[&str] = &[
    "kind=domain name=d1",
    "kind=upstream name=m1 domain=d1 address=127.0.0.1:1 engine=model fencing=checks memory_mib=100 slots=8 \
     fresh_slots=2 ramp_ms=10",
    "kind=upstream name=s1 domain=d1 address=127.0.0.1:2 engine=service slots=8 fresh_slots=2 ramp_ms=10",
    "kind=model name=base memory_mib=50 kv_mib_per_slot=5 kv_slots=8 max_replicas=1 load_ms=5",
    "kind=adapter name=tuned model=base memory_mib=10 load_ms=5",
    "kind=team name=crew rate=10 burst=20",
    "kind=route name=r1 path=/v1/ teams=crew models=base;tuned idempotent=yes deadline_ms=5",
    "kind=route name=r2 path=/logs methods=GET teams=crew services=s1 idempotent=no deadline_ms=5 call_tokens=1",
    "kind=route name=r3 path=/open methods=GET open=yes services=s1 idempotent=yes deadline_ms=5",
    "kind=limit name=loads_per_10s value=30",
];

fn line(row: &str) -> String {
    let fields: Vec<(&str, &str)> =
        row.split_whitespace().filter_map(|field| field.split_once('=')).collect();
    let cell = |column: &str| fields.iter().rev().find(|field| field.0 == column).map_or("", |field| field.1);
    HEADER.split(',').map(cell).collect::<Vec<&str>>().join(",")
}

fn sheet(rows: &[String]) -> String {
    let lines: Vec<String> = rows.iter().map(|row| line(row)).collect();
    format!("{HEADER}\n{}\n", lines.join("\n"))
}

fn faults(text: &str) -> Vec<SheetFault> {
    FleetSheet::from_csv(text).expect_err("the sheet has a fault")
}

/// Guards against a base sheet of the tests below that is itself rejected.
#[test]
fn valid_sheet_is_accepted() {
    let rows: Vec<String> = VALID_ROWS.iter().map(|row| (*row).to_owned()).collect();
    let sheet = FleetSheet::from_csv(&sheet(&rows)).unwrap();
    assert_eq!(sheet.limits.loads_per_10s, 30);
    assert_eq!(sheet.limits.loads_at_once, 4);
}

/// Guards against an invalid value that is accepted or reported elsewhere: each case overwrites fields of a
/// valid row, and exactly one fault must name that row and column.
#[rstest]
#[case::unknown_kind(2, "kind=zone", "kind", "unknown kind")]
#[case::kind_missing(2, "kind=", "kind", "required")]
#[case::unused_column(2, "rate=5", "rate", "kind domain does not use this column")]
#[case::service_memory(4, "memory_mib=5", "memory_mib", "service server does not use")]
#[case::service_fencing(4, "fencing=checks", "fencing", "service server does not use")]
#[case::fencing_word(3, "fencing=maybe", "fencing", "neither")]
#[case::fencing_missing(3, "fencing=", "fencing", "required")]
#[case::engine_word(3, "engine=llm fencing= memory_mib=", "engine", "neither")]
#[case::address_text(3, "address=server:80", "address", "not an IP address")]
#[case::address_port_zero(3, "address=127.0.0.1:0", "address", "not an IP address")]
#[case::address_unspecified(3, "address=0.0.0.0:80", "address", "not an IP address")]
#[case::address_taken(4, "address=127.0.0.1:1", "address", "already the address of upstream \"m1\"")]
#[case::zero_slots(4, "slots=0", "slots", "from 1 to")]
#[case::zero_fresh_slots(4, "fresh_slots=0", "fresh_slots", "from 1 to")]
#[case::fresh_above_slots(4, "fresh_slots=9", "fresh_slots", "more than 8 slots")]
#[case::no_ramp(4, "ramp_ms=0", "ramp_ms", "unprotected")]
#[case::upstream_slash(3, "name=a/b", "name", "contains '/'")]
#[case::zero_weights(5, "memory_mib=0", "memory_mib", "from 1 to")]
#[case::kv_slots_zero(5, "kv_slots=0", "kv_slots", "from 1 to")]
#[case::no_replicas(5, "max_replicas=0", "max_replicas", "from 1 to")]
#[case::thousands_separator(5, "load_ms=1.000", "load_ms", "not a whole number")]
#[case::model_too_large(5, "memory_mib=61", "memory_mib", "largest model server has 100 MiB")]
#[case::adapter_too_large(6, "memory_mib=11", "memory_mib", "with its model it needs 101 MiB")]
#[case::model_name_character(5, "name=base%", "name", "contains '%'")]
#[case::adapter_as_model(6, "name=base", "name", "model \"base\" is already declared in row 5")]
#[case::adapter_dangling(6, "model=none", "model", "no model \"none\"")]
#[case::adapter_of_adapter(6, "model=tuned", "model", "an adapter needs a model")]
#[case::domain_dangling(4, "domain=d2", "domain", "no domain \"d2\"")]
#[case::zero_rate(7, "rate=0", "rate", "from 1 to")]
#[case::negative_rate(7, "rate=-1", "rate", "from 1 to")]
#[case::zero_burst(7, "burst=0", "burst", "from 1 to")]
#[case::burst_below_second(7, "burst=9", "burst", "less than one second")]
#[case::model_route_path(8, "path=/v2/", "path", "is /v1/")]
#[case::model_route_methods(8, "methods=POST", "methods", "model route does not use")]
#[case::model_route_open(8, "open=yes teams=", "open", "cannot be open")]
#[case::no_teams(8, "teams=", "teams", "needs at least one team")]
#[case::no_target(8, "models=", "models", "neither models nor services")]
#[case::two_targets(8, "services=s1", "services", "not both")]
#[case::repeated_entry(8, "models=base;base", "models", "more than once")]
#[case::empty_entry(8, "models=base;", "models", "model is empty")]
#[case::model_dangling(8, "models=none", "models", "no model \"none\"")]
#[case::team_dangling(8, "teams=none", "teams", "no team \"none\"")]
#[case::flag_word(8, "idempotent=maybe", "idempotent", "neither yes nor no")]
#[case::flag_missing(8, "idempotent=", "idempotent", "required")]
#[case::zero_deadline(8, "deadline_ms=0", "deadline_ms", "from 1 to")]
#[case::service_dangling(9, "services=none", "services", "no upstream \"none\"")]
#[case::service_is_engine(9, "services=m1", "services", "is a model server")]
#[case::method_word(9, "methods=FETCH", "methods", "is not one of")]
#[case::no_methods(9, "methods=", "methods", "required")]
#[case::path_relative(9, "path=logs", "path", "does not start with '/'")]
#[case::path_slash(9, "path=/logs/", "path", "ends with '/'")]
#[case::path_parent(9, "path=/logs/../v1", "path", "empty segment")]
#[case::path_escape(9, "path=/l%6fgs", "path", "contains '%'")]
#[case::path_reserved(9, "path=/v1/reports", "path", "callers' interface")]
#[case::charge_above_burst(9, "call_tokens=21", "call_tokens", "more than the burst")]
#[case::open_with_teams(10, "teams=crew", "teams", "open route has no teams")]
#[case::open_charge(10, "call_tokens=1", "call_tokens", "no team to charge")]
#[case::path_of_other_route(10, "path=/logs", "path", "already route \"r2\"")]
#[case::limit_unknown(11, "name=loads_per_hour", "name", "unknown limit")]
#[case::limit_zero(11, "value=0", "value", "from 1 to")]
fn fault_is_reported(#[case] row: usize, #[case] fields: &str, #[case] column: &str, #[case] part: &str) {
    let mut rows: Vec<String> = VALID_ROWS.iter().map(|row| (*row).to_owned()).collect();
    rows[row - 2] = format!("{} {fields}", rows[row - 2]);
    let found = faults(&sheet(&rows));
    let here: Vec<&SheetFault> =
        found.iter().filter(|fault| fault.row == row && fault.column == column).collect();
    assert_eq!(here.len(), 1, "{found:?}");
    assert!(here[0].message.contains(part), "{found:?}");
    // A renamed or unreadable row also leaves references to it dangling, but no other fault may result from
    // it.
    let others: Vec<&SheetFault> = found.iter().filter(|fault| fault != &here[0]).collect();
    assert!(others.iter().all(|fault| fault.message.starts_with("no ")), "{found:?}");
}

/// Guards against duplicate rows of each kind.
#[rstest]
fn duplicate_is_reported(#[values(0, 1, 2, 3, 4, 5, 6, 7, 8, 9)] at: usize) {
    let mut rows: Vec<String> = VALID_ROWS.iter().map(|row| (*row).to_owned()).collect();
    rows.push(rows[at].clone());
    let found = faults(&sheet(&rows));
    assert!(
        found.iter().any(|fault| fault.row == 12
            && fault.column == "name"
            && fault.message.ends_with(&format!("is already declared in row {}", at + 2))),
        "{found:?}"
    );
}

/// Guards against a team that reaches one model by two routes with different deadlines.
#[test]
fn second_route_to_a_model_is_reported() {
    let mut rows: Vec<String> = VALID_ROWS.iter().map(|row| (*row).to_owned()).collect();
    rows.push("kind=route name=r4 path=/v1/ teams=crew models=tuned idempotent=yes deadline_ms=9".to_owned());
    let found = faults(&sheet(&rows));
    assert_eq!(found.len(), 1, "{found:?}");
    assert_eq!(
        found[0].to_string(),
        "row 12, column models: team \"crew\" already reaches \"tuned\" by route \"r1\""
    );
}

/// Guards against a parser that stops at the first fault, and against row numbers that leave out blank lines.
#[test]
fn all_faults_are_reported_at_once() {
    let text = "\u{feff}kind,name,rate,burst,colour,rate\r\n\r\n,,,,,\r\nteam,a,0,0,red,\r\nteam,\"a\",1,1,,\r\n\
                zone,b,,,,\r\ndomain,c\r\n\r\nroute,d,,,,\r\n";
    let found: Vec<String> =
        faults(text).iter().map(|fault| format!("{}:{}", fault.row, fault.column)).collect();
    let expected = [
        "1:colour",
        "1:rate",
        "4:burst",
        "4:rate",
        "5:name",
        "6:kind",
        "7:kind",
        "9:deadline_ms",
        "9:idempotent",
        "9:models",
        "9:teams",
    ];
    assert_eq!(found, expected);
}

/// Guards against row numbers that depend on the kind of line ending.
#[rstest]
fn row_numbers_do_not_depend_on_line_endings(#[values("\n", "\r\n", "\r")] end: &str) {
    let text = ["kind,name", "", "domain,d1", "", "", "zone,x", ""].join(end);
    assert_eq!(faults(&text)[0].row, 6);
}

/// Guards against truncated files of an interrupted export.
#[rstest]
#[case("", "declares nothing")]
#[case("kind,name\n", "declares nothing")]
#[case("name\nd1\n", "no such column")]
#[case("kind,name,rate,burst\nteam,a,5\n", "3 fields, the header has 4")]
#[case("kind,name\ndomain,\"d1\ndomain,d2\n", "contains '\\n'")]
fn truncated_text_is_rejected(#[case] text: &str, #[case] part: &str) {
    let found = faults(text);
    assert!(found.iter().any(|fault| fault.message.contains(part)), "{found:?}");
}
