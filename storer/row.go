package storer

import (
	"context"
	"encoding/json"

	"github.com/heatherhall/heatherhall/promoter"
)

// rowPrefix is the prefix of the keys of databases' rows.
const rowPrefix = "databases/"

// Row returns a database's row with its version; a missing row has version 0.
func (c *Client) Row(ctx context.Context, database string) (promoter.Row, int64, error) {
	var row promoter.Row
	record, err := c.Get(ctx, rowPrefix+database)
	if Is(err, KindMissing) {
		return row, 0, nil
	}
	if err != nil {
		return row, 0, err
	}
	err = decode("row", record.Value, &row)
	return row, record.Version, err
}

// Claim writes a row if the one in the table is of a lower term. It returns
// whether it was written and the row that is there now.
func (c *Client) Claim(ctx context.Context, database string, row promoter.Row) (bool, promoter.Row, error) {
	present, version, err := c.Row(ctx, database)
	if err != nil {
		return false, present, err
	}
	if present.Term >= row.Term {
		return present.Attempt == row.Attempt && row.Attempt != "", present, nil
	}
	record, err := c.Put(ctx, rowPrefix+database, version, row)
	if Is(err, KindConflict) {
		if err := json.Unmarshal(record.Value, &present); err != nil {
			return false, present, &Error{Op: "claim", Kind: KindInvalid, Err: err}
		}
		return false, present, nil
	}
	return err == nil, row, err
}

// Publish writes the row of a finished change of primary, unless the table
// holds a later one.
func (c *Client) Publish(ctx context.Context, database string, row promoter.Row) error {
	present, version, err := c.Row(ctx, database)
	if err != nil || present.Term > row.Term || present.Term == row.Term && present.Primary != "" {
		return err
	}
	_, err = c.Put(ctx, rowPrefix+database, version, row)
	return err
}
