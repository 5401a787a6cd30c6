//! The sample documents of the deployments in `deploy/`.

use std::fs;
use std::path::PathBuf;

use zinnia_types::Class;
use zinnia_types::Document;
use zinnia_types::DomainId;
use zinnia_types::JobRequest;
use zinnia_types::Resources;
use zinnia_types::parse_jsonc;

struct Deployment {
    /// Folder in `deploy/`.
    name: &'static str,
    /// Time zone of all its shifts.
    zone: &'static str,
    /// Capacity of the larger workers without accelerators and of the workers with accelerators.
    workers: [Resources; 2],
}

const fn worker_capacity(cores: u64, gib: u64, gpu: u64) -> Resources {
    Resources {
        cpu: cores * 1_000,
        mem: gib * 1_024,
        gpu,
    }
}

const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        name: "coaster",
        zone: "Africa/Dar_es_Salaam",
        workers: [worker_capacity(64, 128, 0), worker_capacity(32, 128, 8)],
    },
    Deployment {
        name: "consortium",
        zone: "America/Recife",
        workers: [worker_capacity(32, 64, 0), worker_capacity(32, 128, 8)],
    },
];

fn deployment_folder(deployment: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../../deploy")
        .join(deployment)
}

/// Guards against a sample document that the daemon would reject, and against sample kinds whose
/// jobs could never run because they exceed every worker or the limit of a team.
#[test]
fn sample_documents_are_valid_and_every_kind_fits() {
    for Deployment {
        name,
        zone,
        workers,
    } in DEPLOYMENTS
    {
        let text = fs::read_to_string(deployment_folder(name).join("document.jsonc")).unwrap();
        let document: Document = parse_jsonc(&text).unwrap();
        assert_eq!(document.validate(), [], "{name}");
        assert_eq!(document.teams.len(), 6, "{name}");
        assert!(document.shifts.iter().all(|s| s.zone == zone), "{name}");
        for class in [Class::Service, Class::Batch, Class::Gang] {
            assert!(
                document.kinds.iter().any(|k| k.class == class),
                "{name} {class:?}"
            );
        }
        assert!(document.kinds.iter().any(|k| k.need.gpu > 0), "{name}");
        assert!(document.kinds.iter().any(|k| !k.repeat), "{name}");
        for kind in &document.kinds {
            let text = format!(r#"{{"name": "j", "kind": "{}"}}"#, kind.name);
            let request: JobRequest = serde_json::from_str(&text).unwrap();
            for team in &document.teams {
                let job = document
                    .resolve(team.name, &request, DomainId::new("a").unwrap(), 0)
                    .unwrap();
                assert!(
                    workers.iter().any(|w| job.need.fits(w)),
                    "{name} {}",
                    kind.name
                );
                assert!(
                    job.need.saturating_mul(job.tasks.into()).fits(&team.limit),
                    "{name}: one job of kind {} exceeds the limit of team {}",
                    kind.name,
                    team.name
                );
                assert_eq!(job.due_ms.is_some(), kind.shift.is_some(), "{name}");
            }
        }
    }
}

/// Guards against a regular expression in the schema that browsers reject: they would then ignore
/// the pattern and validate no name in a form.
#[test]
fn name_pattern_is_valid_in_browsers() {
    let schema = Document::schema().to_string();
    assert!(
        schema.contains("pattern"),
        "the schema has no pattern for names"
    );
    assert!(
        !schema.contains("_-]"),
        "a hyphen in a character class is not escaped"
    );
}
