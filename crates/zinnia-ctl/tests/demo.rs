//! The demo of each sample deployment, started as the README describes.

struct Case {
    args: &'static [&'static str],
    exit_code: u8,
    expected_text: &'static str,
}

/// Guards against a demo that fails, and against an unknown deployment that is accepted.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn demo_runs_each_deployment() {
    for Case {
        args,
        exit_code,
        expected_text,
    } in [
        Case {
            args: &["demo"],
            exit_code: 0,
            expected_text: "cell coaster",
        },
        Case {
            args: &["demo", "--deployment", "consortium"],
            exit_code: 0,
            expected_text: "cell consortium",
        },
        Case {
            args: &["demo", "--deployment", "another"],
            exit_code: 2,
            expected_text: "coaster or consortium",
        },
    ] {
        let args: Vec<String> = args.iter().map(|&a| a.to_owned()).collect();
        let (mut out, mut err) = (Vec::new(), Vec::new());
        let result = zinnia_ctl::run(&args, None, &mut out, &mut err).await;
        let text = String::from_utf8_lossy(&[out, err].concat()).into_owned();
        assert_eq!(result, exit_code, "{args:?}: {text}");
        assert!(text.contains(expected_text), "{args:?}: {text}");
    }
}
