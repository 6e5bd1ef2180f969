package classifier_test

import (
	"testing"

	"github.com/heatherhall/heatherhall/classifier"
	"github.com/heatherhall/heatherhall/scheduler"
)

// Guards against a statement that writes or locks counting as a read, which a
// replica could get, and against accepting features that pooled connections
// don't support.
func TestClassify(t *testing.T) {
	tests := map[string]struct {
		sql                         string
		write, begin, end           bool
		unsupported, show, rollback bool
	}{
		"select":            {sql: "SELECT v FROM coins WHERE id = 'a'"},
		"aggregate":         {sql: "SELECT count(*), max(v) FROM coins"},
		"lock":              {sql: "SELECT v FROM coins FOR UPDATE", write: true},
		"writing CTE":       {sql: "WITH x AS (DELETE FROM coins RETURNING id) SELECT * FROM x", write: true},
		"volatile function": {sql: "SELECT nextval('s')", write: true},
		"write in subquery": {sql: "SELECT * FROM coins WHERE id IN (SELECT setval('s', 1)::text)", write: true},
		"select into":       {sql: "SELECT 1 INTO t", write: true},
		"insert":            {sql: "INSERT INTO coins VALUES ('a')", write: true},
		"syntax error":      {sql: "SELEC 1", write: true},
		"begin":             {sql: "BEGIN", begin: true},
		"commit":            {sql: "COMMIT", end: true},
		"rollback":          {sql: "ROLLBACK", end: true, rollback: true},
		"whole transaction": {sql: "BEGIN; INSERT INTO coins VALUES ('a'); COMMIT", write: true, begin: true, end: true},
		"read among writes": {sql: "SELECT 1; DELETE FROM coins", write: true},
		"listen":            {sql: "LISTEN x", write: true, unsupported: true},
		"session lock":      {sql: "SELECT pg_advisory_lock(1)", write: true, unsupported: true},
		"copy":              {sql: "COPY coins FROM STDIN", write: true, unsupported: true},
		"temporary table":   {sql: "CREATE TEMP TABLE x (id text)", write: true, unsupported: true},
		"two-phase commit":  {sql: "PREPARE TRANSACTION 'x'", unsupported: true},
		"show":              {sql: "SHOW heatherhall.session", show: true},
	}
	c := classifier.New()
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for range 2 {
				_, got, _, err := c.Classify(test.sql)
				if err != nil {
					t.Fatal(err)
				}
				if got.Write != test.write || got.Begin != test.begin || got.End != test.end ||
					(got.UnsupportedFeature != "") != test.unsupported || (got.Show != "") != test.show || got.RollbackOnly != test.rollback {
					t.Errorf("%s: unexpected classification %+v", test.sql, got)
				}
			}
		})
	}
}

// Guards against hints that are lost, misread or taken from comments of other
// kinds, and against accepting invalid values.
func TestHints(t *testing.T) {
	tests := map[string]struct {
		sql, text string
		want      classifier.Hints
		wantErr   bool
	}{
		"before": {
			sql: "/*rank='settlement',request='a1'*/ SELECT 1", text: " SELECT 1",
			want: classifier.Hints{Rank: scheduler.RankUrgent, HasRank: true, RequestKey: "a1"},
		},
		"after": {
			sql: "SELECT 1 /*rank='browsing',max_age='30s'*/;", text: "SELECT 1 ",
			want: classifier.Hints{Rank: scheduler.RankBrowse, HasRank: true, MaxAge: 30_000},
		},
		"other comment":        {sql: "/* catalogue page */ SELECT 1", text: "/* catalogue page */ SELECT 1"},
		"other tool":           {sql: "/*controller='x'*/ SELECT 1", text: " SELECT 1"},
		"quote in value":       {sql: "/*request='it''s'*/ SELECT 1", text: " SELECT 1", want: classifier.Hints{RequestKey: "it's"}},
		"comma in value":       {sql: "/*request='a,b'*/ SELECT 1", text: " SELECT 1", want: classifier.Hints{RequestKey: "a,b"}},
		"unknown rank":         {sql: "/*rank='first'*/ SELECT 1", wantErr: true},
		"negative age":         {sql: "/*max_age='-1s'*/ SELECT 1", wantErr: true},
		"empty request":        {sql: "/*request=''*/ SELECT 1", wantErr: true},
		"unterminated comment": {sql: "/*rank='settlement'", text: "/*rank='settlement'"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			text, _, hints, err := classifier.New().Classify(test.sql)
			if (err != nil) != test.wantErr {
				t.Fatalf("got error %v, want an error: %v", err, test.wantErr)
			}
			if err == nil && (text != test.text || hints != test.want) {
				t.Errorf("unexpected text %q or hints %+v", text, hints)
			}
		})
	}
}

// Removing the hints must not make any text longer.
func FuzzClassify(f *testing.F) {
	f.Add("/*rank='settlement',request='a'*/ SELECT 1")
	f.Add("BEGIN; COMMIT")
	c := classifier.New()
	f.Fuzz(func(t *testing.T, sql string) {
		text, _, _, err := c.Classify(sql)
		if err == nil && len(text) > len(sql) {
			t.Errorf("removing the hints of %q returned the longer text %q", sql, text)
		}
	})
}
