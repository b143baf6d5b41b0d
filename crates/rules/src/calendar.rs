//! Date fields of UTC times in the proleptic Gregorian calendar.

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DateField {
    Minute,
    Hour,
    DayOfWeek,
    DayOfMonth,
    DayOfYear,
    DaysInMonth,
    Month,
    Year,
}

/// Returns a date field of the time `secs` seconds after the Unix epoch.
pub(crate) fn date_field(field: DateField, secs: f64) -> f64 {
    let secs = secs as i64;
    let days = secs.div_euclid(86_400);
    let (year, month, day) = civil_from_days(days);
    let value = match field {
        DateField::Minute => secs.rem_euclid(3_600) / 60,
        DateField::Hour => secs.rem_euclid(86_400) / 3_600,
        DateField::DayOfWeek => (days + 4).rem_euclid(7),
        DateField::DayOfMonth => day,
        DateField::DayOfYear => days - days_to_month_start(year, 1) + 1,
        DateField::DaysInMonth if month == 12 => 31,
        DateField::DaysInMonth => {
            days_to_month_start(year, month + 1) - days_to_month_start(year, month)
        }
        DateField::Month => month,
        DateField::Year => year,
    };
    value as f64
}

/// Returns year, month and day of the day `days` after the Unix epoch. Internally the
/// year starts in March, so that the leap day is its last day.
fn civil_from_days(days: i64) -> (i64, i64, i64) {
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

/// Returns the number of days from the Unix epoch to the first day of a month.
fn days_to_month_start(year: i64, month: i64) -> i64 {
    let year = if month <= 2 { year - 1 } else { year };
    let era = year.div_euclid(400);
    let year_of_era = year.rem_euclid(400);
    let shifted_month = if month > 2 { month - 3 } else { month + 9 };
    let day_of_year = (153 * shifted_month + 2) / 5;
    era * 146_097 + year_of_era * 365 + year_of_era / 4 - year_of_era / 100 + day_of_year - 719_468
}
