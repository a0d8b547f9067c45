//! Sheets are parsed to the same content from every style of writing, and their differences are listed.

use cowslip_config::{FleetSheet, SheetColumn, SheetDiff, SheetKind, SheetRecord, sheet_digest};
use cowslip_units::TokenRate;
use proptest::prelude::*;

/// Style in which a spreadsheet writes a file.
#[derive(Clone, Debug)]
struct Style {
    columns: Vec<SheetColumn>,
    shuffled: Vec<usize>,
    mark: bool,
    crlf: bool,
    quoted: bool,
    blank_lines: bool,
    lists_reversed: bool,
}

fn write(records: &[SheetRecord], style: &Style) -> String {
    let end = if style.crlf { "\r\n" } else { "\n" };
    let cell = |text: &str| if style.quoted { format!("\"{text}\"") } else { text.to_owned() };
    let header: Vec<String> = style.columns.iter().map(|column| cell(column.as_str())).collect();
    let mut lines = vec![header.join(",")];
    for at in style.shuffled.iter().filter(|at| **at < records.len()) {
        let record = &records[*at];
        let text = |column: &SheetColumn| match column {
            SheetColumn::Kind => record.kind.to_string(),
            SheetColumn::Name => record.name.to_string(),
            column => {
                let entries = record.field(*column).unwrap_or_default().split(';');
                let entries: Vec<&str> =
                    if style.lists_reversed { entries.rev().collect() } else { entries.collect() };
                entries.join(";")
            }
        };
        let cells: Vec<String> = style.columns.iter().map(|column| cell(&text(column))).collect();
        lines.push(cells.join(","));
        if style.blank_lines {
            lines.push(String::new());
        }
    }
    format!("{}{}{end}", if style.mark { "\u{feff}" } else { "" }, lines.join(end))
}

/// Rows of a random valid sheet, in which every reference is to a declared name.
fn records() -> impl Strategy<Value = Vec<SheetRecord>> {
    let counts = (1usize..4, 1usize..5, 1usize..4, 1usize..6, 0usize..6, 1usize..4);
    (counts, proptest::collection::vec(1u64..500, 32), any::<[bool; 4]>()).prop_map(
        |(counts, numbers, flags)| {
            let (domains, engines, services, models, adapters, teams) = counts;
            let number = |at: usize| numbers[at % numbers.len()];
            let names = |word: &str, count: usize| -> Vec<String> {
                (0..count).map(|at| format!("{word}{at}")).collect()
            };
            let mut rows: Vec<(SheetKind, String, String)> = Vec::new();
            for name in names("d", domains) {
                rows.push((SheetKind::Domain, name, String::new()));
            }
            for at in 0..engines + services {
                let (slots, domain) = (number(at) + 1, number(at + 1) as usize % domains);
                let common = format!(
                    "domain=d{domain} address=127.0.0.1:{} slots={slots} fresh_slots={} ramp_ms={}",
                    at + 1,
                    slots.min(number(at + 2)),
                    number(at + 3)
                );
                let own = if at < engines {
                    let fencing = if number(at) % 2 == 0 { "checks" } else { "ignores" };
                    format!("engine=model fencing={fencing} memory_mib={}", 30_000 + number(at))
                } else {
                    "engine=service".to_owned()
                };
                rows.push((SheetKind::Upstream, format!("u{at}"), format!("{common} {own}")));
            }
            for (at, name) in names("m", models).into_iter().enumerate() {
                let fields = format!(
                    "memory_mib={} kv_mib_per_slot={} kv_slots=8 max_replicas={} load_ms={}",
                    number(at),
                    number(at + 1) - 1,
                    number(at + 2),
                    number(at + 3)
                );
                rows.push((SheetKind::Model, name, fields));
            }
            for (at, name) in names("a", adapters).into_iter().enumerate() {
                let (model, memory) = (number(at) as usize % models, number(at + 1));
                rows.push((
                    SheetKind::Adapter,
                    name,
                    format!("model=m{model} memory_mib={memory} load_ms=5"),
                ));
            }
            for (at, name) in names("t", teams).into_iter().enumerate() {
                let rate = number(at);
                rows.push((SheetKind::Team, name, format!("rate={rate} burst={}", rate + number(at + 1))));
                let reached = [names("a", adapters), names("m", models)].concat();
                let fields = format!(
                    "path=/v1/ teams=t{at} open=no models={} idempotent={} deadline_ms={rate}",
                    reached.join(";"),
                    if flags[0] { "yes" } else { "no" }
                );
                rows.push((SheetKind::Route, format!("r{at}"), fields));
            }
            let own =
                if flags[1] { "open=yes".to_owned() } else { "teams=t0 open=no call_tokens=1".to_owned() };
            let methods = if flags[2] { "GET" } else { "GET;POST" };
            let fields =
                format!("path=/s methods={methods} services=u{engines} idempotent=yes deadline_ms=9 {own}");
            rows.push((SheetKind::Route, "s".to_owned(), fields));
            if flags[3] {
                rows.push((SheetKind::Limit, "loads_at_once".to_owned(), format!("value={}", number(0))));
            }
            rows.into_iter().map(|(kind, name, fields)| record(kind, &name, &fields)).collect()
        },
    )
}

fn record(kind: SheetKind, name: &str, fields: &str) -> SheetRecord {
    let mut fields: Vec<(SheetColumn, String)> = fields
        .split_whitespace()
        .filter_map(|field| field.split_once('='))
        .map(|(column, text)| {
            (SheetColumn::from_header(column).expect("a column of the sheet"), text.to_owned())
        })
        .collect();
    fields.sort();
    SheetRecord { kind, name: name.into(), fields }
}

fn style() -> impl Strategy<Value = Style> {
    let columns = Just(SheetColumn::ALL.to_vec()).prop_shuffle();
    let shuffled = Just((0..64).collect::<Vec<usize>>()).prop_shuffle();
    (columns, shuffled, any::<[bool; 5]>()).prop_map(
        |(columns, shuffled, [mark, crlf, quoted, blank_lines, lists_reversed])| Style {
            columns,
            shuffled,
            mark,
            crlf,
            quoted,
            blank_lines,
            lists_reversed,
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..ProptestConfig::with_cases(128)
    })]

    /// Guards against values that depend on the order of columns or rows, or that are lost when written.
    #[test]
    fn sheet_round_trips(records in records(), first in style(), second in style()) {
        let sheet = FleetSheet::from_csv(&write(&records, &first)).unwrap();
        let again = FleetSheet::from_csv(&write(&sheet.records(), &second)).unwrap();
        prop_assert_eq!(&sheet, &again);
        prop_assert!(SheetDiff::new(&sheet, &again).is_empty());
        // Limits that are not in the text have their default values in the sheet.
        let read_back = sheet.records();
        let unset = read_back.iter().filter(|row| row.kind == SheetKind::Limit && !records.contains(row)).count();
        prop_assert_eq!(read_back.len(), records.len() + unset);
        for record in &records {
            prop_assert!(read_back.contains(record), "{:?} is missing in {:?}", record, read_back);
        }
    }

    /// Guards against a parser that panics on text that is not a sheet, or that counts more rows than there
    /// are.
    #[test]
    fn any_text_is_parsed_or_rejected(text in "((kind|name|team|domain|,|;|\"|\r|\n|\u{feff}|[ -~]){0,60})") {
        for fault in FleetSheet::from_csv(&text).err().unwrap_or_default() {
            let lines = text.split(['\r', '\n']).count();
            prop_assert!((1..=lines).contains(&fault.row), "{}", fault);
        }
    }
}

/// Guards against differences that are not listed, and against columns that are listed although they are
/// equal.
#[test]
fn differences_are_listed() {
    let text = |rows: &str| {
        format!(
            "kind,name,rate,burst,path,methods,teams,open,services,idempotent,deadline_ms,\
        call_tokens,domain,address,engine,slots,fresh_slots,ramp_ms\ndomain,d,,,,,,,,,,,,,,,,\n\
        upstream,s,,,,,,,,,,,d,127.0.0.1:1,service,2,2,0\n{rows}"
        )
    };
    let before = text(
        "team,a,10,20,,,,,,,,,,,,,,\nteam,b,10,20,,,,,,,,,,,,,,\n\
        route,r,,,/s,GET,a;b,,s,yes,5,1,,,,,,\n",
    );
    let after = text(
        "team,a,11,20,,,,,,,,,,,,,,\nteam,c,10,20,,,,,,,,,,,,,,\n\
        route,r,,,/s,GET,a;c,,s,yes,5,1,,,,,,\n",
    );
    let (before, after) = (FleetSheet::from_csv(&before).unwrap(), FleetSheet::from_csv(&after).unwrap());
    let expected = "~ team a: rate 10 -> 11\n- team b\n+ team c\n~ route r: teams +c -b\n";
    assert_eq!(SheetDiff::new(&before, &after).to_string(), expected);
    assert_eq!(after.teams[0].rate, TokenRate::new(11));
}

/// Guards against a digest of anything but the bytes of the text (FIPS 180 test vector for "abc").
#[test]
fn digest_is_sha256() {
    let expected = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
    assert_eq!(sheet_digest("abc"), expected);
}
