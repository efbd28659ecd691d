//! The reference pages list the fields in the code with their defaults and bounds.

use std::{collections::BTreeSet, fs, path::PathBuf};

use linnethitch_config::{
    fleet::Fleet,
    settings::{ControlSettings, GatewaySettings},
};
use toml::Value;

use crate::settings::{CONTROL, GATEWAY};

/// A fleet file with every field, including the optional ones.
const FULL: &str = r#"name = "full"

[[zone]]
name = "z"
region = "r"

[[model]]
name = "m"
version = "1"
placement = [{ zone = "z", replicas = 1 }]

[[model.adapter]]
name = "a"
version = "1"

[[service]]
name = "s"
placement = [{ zone = "z", replicas = 1 }]

[[tenant]]
name = "t"
key_sha256 = "0000000000000000000000000000000000000000000000000000000000000000"
requests_per_second = 1.0
tokens_per_second = 1.0
max_in_flight = 1
weight = 2
"#;

/// One row of a reference table.
#[derive(Debug)]
struct Row {
    field: String,
    cells: Vec<String>,
}

fn page(name: &str) -> String {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs/reference");
    fs::read_to_string(folder.join(name)).unwrap()
}

/// The rows that begin with a field's name.
fn rows(text: &str) -> Vec<Row> {
    text.lines()
        .filter_map(|line| line.strip_prefix("| `"))
        .map(|line| {
            let (field, after) = line.split_once('`').unwrap();
            let cells = after.replace("\\|", "/");
            let cells = cells.split('|').skip(1).map(|cell| cell.trim().to_owned());
            Row {
                field: field.to_owned(),
                cells: cells.collect(),
            }
        })
        .collect()
}

/// The names of all fields of a value, lists and tables joined by dots.
fn fields_of(value: &Value, path: &str, fields: &mut BTreeSet<String>) {
    match value {
        Value::Table(table) => {
            for (key, value) in table {
                let path = if path.is_empty() {
                    key.clone()
                } else {
                    format!("{path}.{key}")
                };
                fields_of(value, &path, fields);
            }
        }
        Value::Array(elements) if elements.iter().all(Value::is_table) => {
            if path.contains('.') {
                fields.insert(path.to_owned());
            }
            for element in elements {
                fields_of(element, path, fields);
            }
        }
        _ => {
            fields.insert(path.to_owned());
        }
    }
}

fn fields(value: &Value) -> BTreeSet<String> {
    let mut fields = BTreeSet::new();
    fields_of(value, "", &mut fields);
    fields
}

fn full_fleet() -> Value {
    Value::try_from(Fleet::parse(FULL).unwrap()).unwrap()
}

/// The value of a field; lists on the path are entered at their first element.
fn value_at<'a>(value: &'a mut Value, field: &str) -> &'a mut Value {
    let mut current = value;
    for key in field.split('.') {
        if current.is_array() {
            current = &mut current[0];
        }
        current = current.as_table_mut().unwrap().get_mut(key).unwrap();
    }
    current
}

#[test]
fn the_fleet_page_lists_every_field_once() {
    let rows = rows(&page("fleet-file.md"));
    let documented: BTreeSet<String> = rows.iter().map(|row| row.field.clone()).collect();
    assert_eq!(documented.len(), rows.len());
    assert_eq!(documented, fields(&full_fleet()));
}

#[test]
fn the_fleet_page_gives_the_defaults() {
    let mut checked = 0;
    for row in rows(&page("fleet-file.md")) {
        let mut value = full_fleet();
        let default = &row.cells[1];
        if ["required", "none", "empty"].contains(&default.as_str())
            || row.field.starts_with("tenant.")
        {
            continue;
        }
        assert_eq!(
            value_at(&mut value, &row.field).to_string(),
            *default,
            "{}",
            row.field
        );
        checked += 1;
    }
    assert!(checked >= 20, "{checked} defaults");
}

#[test]
fn the_fleet_page_gives_the_bounds() {
    let mut checked = 0;
    for row in rows(&page("fleet-file.md")) {
        let Some((min, max)) = row.cells[2].split_once(" to ") else {
            continue;
        };
        let (min, max): (i64, i64) = (min.parse().unwrap(), max.parse().unwrap());
        let accepts = |number: i64| {
            let mut value = full_fleet();
            let field = value_at(&mut value, &row.field);
            *field = match field {
                Value::Float(_) => Value::Float(number as f64),
                _ => Value::Integer(number),
            };
            Fleet::parse(&toml::to_string(&value).unwrap()).is_ok()
        };
        assert!(
            accepts(min) && accepts(max),
            "{}: {min} to {max}",
            row.field
        );
        assert!(
            !accepts(min - 1) && !accepts(max + 1),
            "{}: {min} to {max}",
            row.field
        );
        checked += 1;
    }
    assert!(checked >= 20, "{checked} bounds");
}

#[test]
fn the_settings_page_lists_every_field_with_its_default() {
    let page = page("settings.md");
    let (gateway_page, control_page) = page.split_once("## Control").unwrap();
    // Fields without a default are listed as well.
    let operators = format!("operator_key_sha256 = \"{}\"\n", "0".repeat(64));
    let gateway: GatewaySettings =
        crate::settings::gateway(&[GATEWAY, operators.as_str()].concat());
    let control: ControlSettings = crate::settings::control(CONTROL);
    for (page, settings) in [
        (gateway_page, Value::try_from(gateway).unwrap()),
        (control_page, Value::try_from(control).unwrap()),
    ] {
        let rows = rows(page);
        let documented: BTreeSet<String> = rows.iter().map(|row| row.field.clone()).collect();
        let mut known: BTreeSet<String> = fields(&settings)
            .into_iter()
            .map(|field| {
                if field.starts_with("peers.") {
                    "peers".to_owned()
                } else {
                    field
                }
            })
            .collect();
        known.insert("log.modules".to_owned());
        assert_eq!(documented, known);
        for row in rows {
            let default = &row.cells[0];
            if default.parse::<i64>().is_ok() {
                assert_eq!(
                    value_at(&mut settings.clone(), &row.field).to_string(),
                    *default
                );
            }
        }
    }
}
