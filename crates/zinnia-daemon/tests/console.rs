//! Static checks of the console's HTML page and script.

use std::collections::BTreeSet;

const HTML: &str = include_str!("../assets/console.html");
const SCRIPT: &str = include_str!("../assets/console.js");
const API: &str = include_str!("../../../docs/api.md");

/// For each occurrence of `open`, the text between it and the next `close`.
fn between<'a>(text: &'a str, open: &str, close: char) -> BTreeSet<&'a str> {
    text.split(open)
        .skip(1)
        .filter_map(|rest| rest.split(close).next())
        .collect()
}

/// Guards against cross-site scripting and leaks of the operator's key: the page must load nothing
/// from other servers, store nothing in the browser, and parse no text as HTML or code.
#[test]
fn console_loads_and_stores_nothing_elsewhere() {
    let banned = [
        "http:",
        "https:",
        "innerHTML",
        "outerHTML",
        "insertAdjacent",
        "document.write",
        "eval(",
        "localStorage",
        "sessionStorage",
        "document.cookie",
        "import(",
        "onclick=\"",
        "onload=\"",
        "javascript:",
        "url(",
        "@import",
    ];
    for text in banned {
        assert!(!HTML.contains(text), "the page contains {text}");
        assert!(!SCRIPT.contains(text), "the script contains {text}");
    }
    assert!(HTML.contains("default-src 'none'; script-src 'self'"));
    assert_eq!(
        between(HTML, " src=\"", '"'),
        BTreeSet::from(["console.js"])
    );
}

/// Guards against a script that looks up elements which the page does not have, and against
/// controls without a label.
#[test]
fn page_has_all_elements_of_the_script_and_labels() {
    let ids = between(HTML, " id=\"", '"');
    for id in between(SCRIPT, "byId(\"", '"') {
        assert!(ids.contains(id), "the page has no element {id}");
    }
    for id in between(SCRIPT, "show(\"", '"') {
        assert!(ids.contains(id), "the page has no panel {id}");
    }
    let labels = between(HTML, "<label for=\"", '"');
    let controls = between(HTML, "<input id=\"", '"');
    let selects = between(HTML, "<select id=\"", '"');
    for id in controls.union(&selects) {
        assert!(labels.contains(id), "the control {id} has no label");
    }
}

/// Guards against console requests to routes that docs/api.md does not describe.
#[test]
fn console_routes_are_documented() {
    let mut count = 0;
    for method in ["GET", "PUT", "POST"] {
        for path in between(SCRIPT, &format!("send(\"{method}\", \""), '"') {
            let heading = format!("{method} {path}");
            let documented = API.lines().any(|line| {
                line.strip_prefix("### ")
                    .is_some_and(|routes| routes.split(", ").any(|route| route == heading))
            });
            assert!(documented, "docs/api.md does not describe {heading}");
            count += 1;
        }
    }
    assert_eq!(
        count, 7,
        "number of requests that this test finds in the script"
    );
}
