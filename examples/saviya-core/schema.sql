-- Schema of one workspace: bookings, check-ins and trips.
CREATE TABLE IF NOT EXISTS bookings (
  id TEXT PRIMARY KEY, trip TEXT NOT NULL, rider TEXT NOT NULL,
  status TEXT NOT NULL, version INTEGER NOT NULL);
CREATE INDEX IF NOT EXISTS bookings_by_trip ON bookings (trip);
CREATE TABLE IF NOT EXISTS check_ins (
  rider TEXT NOT NULL, stop INTEGER NOT NULL, aboard INTEGER NOT NULL,
  PRIMARY KEY (rider, stop));
CREATE TABLE IF NOT EXISTS trips (name TEXT PRIMARY KEY, seats INTEGER);
