//! Start times of shifts in various time zones and across daylight-saving changes.
#![expect(clippy::unwrap_used, reason = "helpers of tests")]

use jiff::Timestamp;
use jiff::tz::TimeZone;
use proptest::prelude::*;
use zinnia_types::Day;
use zinnia_types::Name;
use zinnia_types::Shift;

const ALL_DAYS: [Day; 7] = [
    Day::Mon,
    Day::Tue,
    Day::Wed,
    Day::Thu,
    Day::Fri,
    Day::Sat,
    Day::Sun,
];

fn shift(zone: &str, days: &[Day], time: &str) -> Shift {
    Shift {
        name: Name::new("s").unwrap(),
        zone: zone.to_owned(),
        days: days.to_vec(),
        time: time.to_owned(),
    }
}

/// Parses a timestamp to milliseconds since the Unix epoch.
fn timestamp_ms(text: &str) -> i64 {
    text.parse::<Timestamp>().unwrap().as_millisecond()
}

struct Case {
    name: &'static str,
    zone: &'static str,
    days: &'static [Day],
    time: &'static str,
    now: &'static str,
    /// Expected start.
    start: &'static str,
}

/// Guards against a job deadline that is wrong by an hour, a day or a week.
#[test]
fn next_start_is_the_next_local_start() {
    let cases = [
        Case {
            name: "later today",
            zone: "Africa/Dar_es_Salaam",
            days: &ALL_DAYS,
            time: "06:00",
            now: "2026-12-04T02:59:59Z",
            start: "2026-12-04T03:00:00Z",
        },
        Case {
            name: "strictly after now",
            zone: "Africa/Dar_es_Salaam",
            days: &ALL_DAYS,
            time: "06:00",
            now: "2026-12-04T03:00:00Z",
            start: "2026-12-05T03:00:00Z",
        },
        Case {
            name: "the day of the week is local, not that of UTC",
            zone: "Africa/Dar_es_Salaam",
            days: &[Day::Sat],
            time: "00:30",
            now: "2026-12-04T21:00:00Z",
            start: "2026-12-04T21:30:00Z",
        },
        Case {
            name: "the local day is one day behind UTC",
            zone: "America/Recife",
            days: &[Day::Fri],
            time: "23:00",
            now: "2026-12-05T01:00:00Z",
            start: "2026-12-05T02:00:00Z",
        },
        Case {
            name: "several days ahead, over the weekend",
            zone: "America/Recife",
            days: &[Day::Mon],
            time: "05:30",
            now: "2026-12-04T12:00:00Z",
            start: "2026-12-07T08:30:00Z",
        },
        Case {
            name: "one day a week, just passed",
            zone: "America/Recife",
            days: &[Day::Fri],
            time: "05:30",
            now: "2026-12-04T08:30:00Z",
            start: "2026-12-11T08:30:00Z",
        },
        Case {
            name: "across the end of the year",
            zone: "America/Recife",
            days: &[Day::Fri],
            time: "05:30",
            now: "2026-12-31T23:00:00Z",
            start: "2027-01-01T08:30:00Z",
        },
        Case {
            name: "leap day",
            zone: "Africa/Dar_es_Salaam",
            days: &[Day::Tue],
            time: "06:00",
            now: "2028-02-28T12:00:00Z",
            start: "2028-02-29T03:00:00Z",
        },
        Case {
            name: "daylight-saving time begins: the day has 23 hours",
            zone: "Europe/Lisbon",
            days: &ALL_DAYS,
            time: "06:00",
            now: "2026-03-28T06:00:00Z",
            start: "2026-03-29T05:00:00Z",
        },
        Case {
            name: "daylight-saving time ends: the day has 25 hours",
            zone: "Europe/Lisbon",
            days: &ALL_DAYS,
            time: "06:00",
            now: "2026-10-24T05:00:00Z",
            start: "2026-10-25T06:00:00Z",
        },
        Case {
            name: "a skipped time is moved on by the length of the gap",
            zone: "Europe/Lisbon",
            days: &[Day::Sun],
            time: "01:30",
            now: "2026-03-28T12:00:00Z",
            start: "2026-03-29T01:30:00Z",
        },
        Case {
            name: "a repeated time counts at its first occurrence",
            zone: "Europe/Lisbon",
            days: &[Day::Sun],
            time: "01:30",
            now: "2026-10-24T12:00:00Z",
            start: "2026-10-25T00:30:00Z",
        },
        Case {
            name: "between the two occurrences of a repeated time, the start is in the next week",
            zone: "Europe/Lisbon",
            days: &[Day::Sun],
            time: "01:30",
            now: "2026-10-25T01:00:00Z",
            start: "2026-11-01T01:30:00Z",
        },
        Case {
            name: "midnight is skipped by a daylight-saving change",
            zone: "America/Santiago",
            days: &[Day::Sun],
            time: "00:00",
            now: "2026-09-05T12:00:00Z",
            start: "2026-09-06T04:00:00Z",
        },
    ];
    for case in cases {
        let result = shift(case.zone, case.days, case.time).next_start(timestamp_ms(case.now));
        let result = result.map(|at| Timestamp::from_millisecond(at).unwrap().to_string());
        assert_eq!(result.as_deref(), Ok(case.start), "{}", case.name);
    }
}

/// Guards against an invalid shift that is accepted and never starts.
#[test]
fn invalid_shifts_are_errors() {
    /// Time zone, days, time of day and current time.
    struct Case(&'static str, &'static [Day], &'static str, i64);
    let cases = [
        Case("Africa/Dodoma", &ALL_DAYS, "06:00", 0),
        Case("", &ALL_DAYS, "06:00", 0),
        Case("UTC", &[], "06:00", 0),
        Case("UTC", &ALL_DAYS, "24:00", 0),
        Case("UTC", &ALL_DAYS, "06:60", 0),
        Case("UTC", &ALL_DAYS, "06:00:00", 0),
        Case("UTC", &ALL_DAYS, "6 am", 0),
        Case("UTC", &ALL_DAYS, "06:00", i64::MIN),
        Case("UTC", &ALL_DAYS, "06:00", i64::MAX),
    ];
    for Case(zone, days, time, now) in cases {
        assert!(
            shift(zone, days, time).next_start(now).is_err(),
            "{zone} {time} {now}"
        );
    }
}

proptest! {
    /// Guards against a start that is skipped, and against a returned time that is not a start.
    #[test]
    fn no_start_is_skipped_or_invented(
        zone in prop::sample::select(vec!["Africa/Dar_es_Salaam", "America/Recife", "Europe/Lisbon", "Australia/Lord_Howe"]),
        days in prop::sample::subsequence(ALL_DAYS.to_vec(), 1..=7),
        hour in 0..24_u8,
        minute in 0..60_u8,
        // From 1990 to 2037.
        now in 631_152_000_000..2_145_916_800_000_i64,
    ) {
        let shift = shift(zone, &days, &format!("{hour:02}:{minute:02}"));
        let start = shift.next_start(now).unwrap();
        prop_assert!(start > now);
        // Eight days, because a daylight-saving change can move a weekly start by an hour.
        prop_assert!(start - now <= 8 * 24 * 3_600_000);
        prop_assert_eq!(shift.next_start(start - 1), Ok(start));
        prop_assert_eq!(shift.next_start(now + (start - now) / 2), Ok(start));
        let local = Timestamp::from_millisecond(start).unwrap().to_zoned(TimeZone::get(zone).unwrap());
        let minutes = i32::from(local.hour()) * 60 + i32::from(local.minute());
        let delay = minutes - (i32::from(hour) * 60 + i32::from(minute));
        prop_assert!(delay == 0 || delay == 60 || delay == 30, "{local}: the start is off by more than a gap of 30 or 60 minutes");
    }

    /// Guards against a time zone or time in the document that makes the daemon panic.
    #[test]
    fn any_zone_and_time_return_without_a_panic(zone in "\\PC{0,20}|[A-Za-z/_+0-9-]{0,20}", time in "\\PC{0,8}|[0-9:]{0,6}", now: i64) {
        let _ = shift(&zone, &ALL_DAYS, &time).next_start(now);
        let _ = shift("UTC", &ALL_DAYS, &time).next_start(now);
    }
}
