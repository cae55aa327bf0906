-- Schema of one workspace: quotes, grants and liner prices.
CREATE TABLE IF NOT EXISTS quotes (
  id TEXT PRIMARY KEY, flue_mm INTEGER NOT NULL, status TEXT NOT NULL,
  version INTEGER NOT NULL);
CREATE TABLE IF NOT EXISTS grants (
  quote_id TEXT PRIMARY KEY, amount INTEGER NOT NULL);
CREATE TABLE IF NOT EXISTS liners (
  name TEXT PRIMARY KEY, price INTEGER NOT NULL);
