//! The shift calendar: the start times that serve as job deadlines.

use jiff::Timestamp;
use jiff::ToSpan;
use jiff::civil;
use jiff::tz::TimeZone;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

use crate::Name;

/// A day of the week.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
#[expect(missing_docs, reason = "weekday names are self-explanatory")]
pub enum Day {
    Mon,
    Tue,
    Wed,
    Thu,
    Fri,
    Sat,
    Sun,
}

impl Day {
    fn from_weekday(day: civil::Weekday) -> Self {
        match day {
            civil::Weekday::Monday => Self::Mon,
            civil::Weekday::Tuesday => Self::Tue,
            civil::Weekday::Wednesday => Self::Wed,
            civil::Weekday::Thursday => Self::Thu,
            civil::Weekday::Friday => Self::Fri,
            civil::Weekday::Saturday => Self::Sat,
            civil::Weekday::Sunday => Self::Sun,
        }
    }
}

/// A work shift with a fixed local start time. Its next start can be the deadline of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Shift {
    /// Name of the shift, unique in the document; kinds and jobs refer to it.
    pub name: Name,
    /// IANA time zone, such as `Africa/Dar_es_Salaam`.
    pub zone: String,
    /// Days of the week on which the shift begins, in local time; at least one.
    pub days: Vec<Day>,
    /// Local time of day at which the shift begins, as `HH:MM`.
    pub time: String,
}

impl Shift {
    /// Returns the first start after `now_ms`, both in milliseconds since the Unix epoch.
    ///
    /// A start time that a daylight-saving change skips is moved on by the length of the gap; one
    /// that occurs twice counts the first time only.
    ///
    /// # Errors
    ///
    /// Returns a message if the time zone, the time of day or `now_ms` is invalid, or if no day is
    /// given.
    pub fn next_start(&self, now_ms: i64) -> Result<i64, String> {
        let zone = TimeZone::get(&self.zone).map_err(|e| format!("invalid time zone: {e}"))?;
        let time_of_day: civil::Time = civil::Time::strptime("%H:%M", &self.time)
            .map_err(|e| format!("the time of day must have the form HH:MM: {e}"))?;
        let now = Timestamp::from_millisecond(now_ms)
            .map_err(|e| format!("the current time is out of range: {e}"))?;
        let today = now.to_zoned(zone.clone()).date();
        // Eight days cover a shift on one day of the week whose start of today has passed.
        for days_ahead in 0..=8_i64 {
            let date = today
                .checked_add(days_ahead.days())
                .map_err(|e| format!("the date is out of range: {e}"))?;
            if !self.days.contains(&Day::from_weekday(date.weekday())) {
                continue;
            }
            let start = date
                .to_datetime(time_of_day)
                .to_zoned(zone.clone())
                .map_err(|e| format!("the date is out of range: {e}"))?
                .timestamp()
                .as_millisecond();
            if start > now_ms {
                return Ok(start);
            }
        }
        Err("a shift must have at least one day of the week".to_owned())
    }
}
