//! Date fields of UTC times, by the proleptic Gregorian calendar.

/// A date field of a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Field {
    Minute,
    Hour,
    DayOfWeek,
    DayOfMonth,
    DayOfYear,
    DaysInMonth,
    Month,
    Year,
}

/// Returns a field of the time `secs` seconds after the epoch.
pub(crate) fn field(field: Field, secs: f64) -> f64 {
    let secs = secs as i64;
    let days = secs.div_euclid(86_400);
    let (year, month, day) = civil(days);
    let value = match field {
        Field::Minute => secs.rem_euclid(3_600) / 60,
        Field::Hour => secs.rem_euclid(86_400) / 3_600,
        Field::DayOfWeek => (days + 4).rem_euclid(7),
        Field::DayOfMonth => day,
        Field::DayOfYear => days - days_before(year, 1) + 1,
        Field::DaysInMonth if month == 12 => 31,
        Field::DaysInMonth => days_before(year, month + 1) - days_before(year, month),
        Field::Month => month,
        Field::Year => year,
    };
    value as f64
}

/// Returns year, month and day; the year is counted from March inside, so
/// that the leap day comes last.
fn civil(days: i64) -> (i64, i64, i64) {
    let shifted = days + 719_468;
    let era = shifted.div_euclid(146_097);
    let day_of_era = shifted.rem_euclid(146_097);
    let year_of_era =
        (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let shifted_month = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * shifted_month + 2) / 5 + 1;
    let month = if shifted_month < 10 {
        shifted_month + 3
    } else {
        shifted_month - 9
    };
    (year_of_era + era * 400 + i64::from(month <= 2), month, day)
}

/// Returns the days from the epoch to the first day of a month.
fn days_before(year: i64, month: i64) -> i64 {
    let year = if month <= 2 { year - 1 } else { year };
    let era = year.div_euclid(400);
    let year_of_era = year.rem_euclid(400);
    let shifted_month = if month > 2 { month - 3 } else { month + 9 };
    let day_of_year = (153 * shifted_month + 2) / 5;
    era * 146_097 + year_of_era * 365 + year_of_era / 4 - year_of_era / 100 + day_of_year - 719_468
}
