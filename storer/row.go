package storer

import (
	"context"
	"encoding/json"

	"github.com/heatherhall/heatherhall/promoter"
)

// rowKeyPrefix precedes the database's name in the key of its row.
const rowKeyPrefix = "databases/"

// Row returns a database's row and its version, or version 0 if there is no row.
func (c *Client) Row(ctx context.Context, database string) (promoter.Row, int64, error) {
	var row promoter.Row
	record, err := c.Get(ctx, rowKeyPrefix+database)
	if Is(err, KindMissing) {
		return row, 0, nil
	}
	if err != nil {
		return row, 0, err
	}
	err = decode("row", record.Value, &row)
	return row, record.Version, err
}

// Claim writes a row if the one in the table has a lower term. It reports whether
// the claim succeeded, and returns the row that is in the table now. A row of the
// same attempt counts as success, since an earlier call wrote it. After an error
// of KindDown the row may have been written.
func (c *Client) Claim(ctx context.Context, database string, row promoter.Row) (bool, promoter.Row, error) {
	present, version, err := c.Row(ctx, database)
	if err != nil {
		return false, present, err
	}
	if present.Term >= row.Term {
		return present.Attempt == row.Attempt && row.Attempt != "", present, nil
	}
	record, err := c.Put(ctx, rowKeyPrefix+database, version, row)
	if Is(err, KindConflict) {
		if err := json.Unmarshal(record.Value, &present); err != nil {
			return false, present, &Error{Op: "claim", Kind: KindInvalid, Err: err}
		}
		return false, present, nil
	}
	return err == nil, row, err
}

// Publish writes the row of a completed primary change, unless the table holds
// one of a higher term or one of this term that has a primary already.
func (c *Client) Publish(ctx context.Context, database string, row promoter.Row) error {
	present, version, err := c.Row(ctx, database)
	if err != nil || present.Term > row.Term || present.Term == row.Term && present.Primary != "" {
		return err
	}
	_, err = c.Put(ctx, rowKeyPrefix+database, version, row)
	return err
}
