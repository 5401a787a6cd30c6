//! The JSON Schema of the document, from which the web console generates its forms.

use schemars::schema_for;
use serde_json::Value;
use serde_json::json;
use zinnia_types::Document;

/// Asserts that the console has an input for a node of the schema and for all nodes below it. It
/// supports objects, lists, enumerations, strings, integers, booleans and optional fields.
fn assert_editable(node: &Value, root: &Value, path: &str) {
    let null = json!({"type": "null"});
    if let Some(name) = node["$ref"].as_str() {
        let name = name.strip_prefix("#/$defs/").unwrap_or_default();
        return assert_editable(&root["$defs"][name], root, path);
    }
    if let Some(parts) = node["anyOf"].as_array() {
        assert!(parts.len() == 2 && parts.contains(&null), "{path}: {node}");
        let value_schema = parts.iter().find(|part| **part != null);
        return assert_editable(value_schema.unwrap_or(&null), root, path);
    }
    let has_items = |field: &str| {
        node[field]
            .as_array()
            .is_some_and(|items| !items.is_empty())
    };
    if has_items("enum") || has_items("oneOf") {
        let choices = node["oneOf"].as_array().into_iter().flatten();
        for choice in choices {
            assert!(choice["const"].is_string(), "{path}: {choice}");
        }
        return;
    }
    match node["type"].as_str() {
        Some("object") => {
            let fields = node["properties"].as_object();
            assert!(fields.is_some_and(|f| !f.is_empty()), "{path}: {node}");
            for (name, field) in fields.into_iter().flatten() {
                assert_editable(field, root, &format!("{path}.{name}"));
            }
        }
        Some("array") => assert_editable(&node["items"], root, &format!("{path}[]")),
        Some("string" | "integer" | "boolean") => {}
        _ => assert_eq!(
            node,
            &Value::Null,
            "{path}: the console has no input for this type"
        ),
    }
}

/// Guards against a field of the document for which the console has no input, and against a list
/// whose items have no name to show in the console.
#[test]
fn console_can_edit_every_field() {
    let schema = schema_for!(Document);
    let root = schema.as_value();
    assert_editable(root, root, "");
    for (list, kind) in [("teams", "Team"), ("kinds", "Kind"), ("shifts", "Shift")] {
        assert_eq!(
            root["properties"][list]["items"]["$ref"],
            format!("#/$defs/{kind}")
        );
        assert!(
            root["$defs"][kind]["properties"]["name"].is_object(),
            "{kind}"
        );
    }
}
