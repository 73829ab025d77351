package client

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"marjoramsaddle/core/document"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/manifest"
)

type buildFlags struct{ out, author, comment string }

func newBuild() *cobra.Command {
	var flags buildFlags
	cmd := &cobra.Command{
		Use:   "build --out DIR FILE...",
		Short: "Write the parts and the manifest for the platform",
		Long: `Write the parts and the manifest for the platform. The path of each file below
DIR is its key on the platform. Publish the parts first and the manifest last,
with compare-and-set.

` + exitCodes,
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return runBuild(cmd, flags, args) },
	}
	cmd.Flags().StringVar(&flags.out, "out", "", "folder to write to")
	cmd.Flags().StringVar(&flags.author, "author", "", "author to record in the manifest")
	cmd.Flags().StringVar(&flags.comment, "comment", "", "comment to record in the manifest")
	if err := cmd.MarkFlagRequired("out"); err != nil {
		panic(err)
	}
	return cmd
}

func runBuild(cmd *cobra.Command, flags buildFlags, args []string) error {
	set, err := loadValidDocuments(args)
	if err != nil {
		return err
	}
	parts, err := splitIntoParts(set)
	if err != nil {
		return &Error{ExitCode: CheckFailed, Problem: "documents do not fit the platform", Remedy: err.Error()}
	}
	for _, data := range parts {
		if err := writeKey(flags.out, newPart(data).Key(), data); err != nil {
			return err
		}
	}
	data, err := encodeManifest(parts, flags)
	if err != nil {
		return &Error{ExitCode: CheckFailed, Problem: "documents do not fit the platform", Remedy: err.Error()}
	}
	// The manifest is written last, so that an interrupted build leaves no
	// manifest that refers to missing parts.
	if err := writeKey(flags.out, manifest.Key, data); err != nil {
		return err
	}
	return printLine(cmd, fmt.Sprintf("built: %d documents in %d parts below %s", len(set.Canonical), len(parts), flags.out))
}

// splitIntoParts encodes the documents, in key order, as JSON arrays: as few as
// the platform's limit for one value allows. Equal documents give equal parts.
func splitIntoParts(set *document.Set) ([][]byte, error) {
	var parts [][]byte
	var part []byte
	for _, key := range set.Keys() {
		raw := set.Canonical[key]
		if len(raw)+len("[]") > manifest.MaxPartBytes {
			return nil, fmt.Errorf("%s has %d bytes, the platform holds %d in one value: split the document",
				key, len(raw), manifest.MaxPartBytes)
		}
		if len(part)+len(raw)+len(",]") > manifest.MaxPartBytes {
			parts = append(parts, append(part, ']'))
			part = nil
		}
		part = appendDocument(part, raw)
	}
	if part != nil {
		parts = append(parts, append(part, ']'))
	}
	if len(parts) == 0 {
		return nil, fmt.Errorf("no documents: write at least one")
	}
	if _, err := encodeManifest(parts, buildFlags{}); err != nil {
		return nil, err
	}
	return parts, nil
}

func newPart(data []byte) manifest.Part {
	return manifest.Part{SHA256: id.DigestOf(data), Bytes: len(data)}
}

// encodeManifest encodes the manifest of the parts, and fails if the daemons
// would refuse it.
func encodeManifest(parts [][]byte, flags buildFlags) ([]byte, error) {
	m := &manifest.Manifest{Format: manifest.Format, Author: flags.author, Comment: flags.comment}
	for _, data := range parts {
		m.Parts = append(m.Parts, newPart(data))
	}
	data, err := json.MarshalIndent(m, "", "  ")
	if err != nil {
		return nil, err
	}
	if _, err := manifest.Decode(data); err != nil {
		return nil, err
	}
	return append(data, '\n'), nil
}

func appendDocument(part, raw []byte) []byte {
	if part == nil {
		part = append(part, '[')
	} else {
		part = append(part, ',')
	}
	return append(part, raw...)
}

// writeKey writes the value of a platform key to the file of that path below
// folder, atomically.
func writeKey(folder, key string, data []byte) error {
	path := filepath.Join(folder, filepath.FromSlash(key))
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return writeError(err)
	}
	return writeFileAtomically(path, data)
}

// writeFileAtomically writes a temporary file and renames it to path, so that
// path never holds incomplete data.
func writeFileAtomically(path string, data []byte) error {
	temporary := path + ".tmp"
	if err := os.WriteFile(temporary, data, 0o644); err != nil {
		return writeError(err)
	}
	if err := os.Rename(temporary, path); err != nil {
		return writeError(err)
	}
	return nil
}

func writeError(err error) error {
	return &Error{ExitCode: Usage, Problem: err.Error(), Remedy: "check the folder and its permissions"}
}
