package cli

import (
	"os"

	"github.com/spf13/cobra"

	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/weights"
)

func newManifestCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "manifest", Short: "Create manifests of weights"}
	cmd.AddCommand(newManifestCreateCommand())
	return cmd
}

func newManifestCreateCommand() *cobra.Command {
	var object, base, out string
	chunkSize := "4MiB"
	cmd := &cobra.Command{
		Use:   "create FILE",
		Short: "Create the manifest of a file of weights and print its declaration",
		Long: `Create the manifest of a file of weights and print the keys that declare it. The
origin must serve the file under the name given by --object, and the manifest
under the name declared as manifest_object.`,
		Example: "  auburnctl manifest create crest-v4.safetensors --object weights/crest-v4 --out crest-v4.manifest",
		Args:    usageArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, files []string) error {
			size, err := parseChunkSize(chunkSize)
			if err != nil {
				return err
			}
			var baseDigest model.Digest
			if base != "" {
				if baseDigest, err = model.ParseDigest(base); err != nil {
					return usagef("--base: %v", err)
				}
			}
			manifest, err := buildManifest(files[0], object, baseDigest, size)
			if err != nil {
				return err
			}
			data, err := manifest.Encode()
			if err != nil {
				return err
			}
			if err := os.WriteFile(out, data, 0o644); err != nil {
				return usagef("--out: %v", err)
			}
			p := printer{out: cmd.OutOrStdout()}
			p.line("manifest = %s\nbytes = %d", model.Sum(data), manifest.TotalSize())
			return nil
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&object, "object", "", "name under which the origin serves the file")
	flags.StringVar(&base, "base", "", "for an adapter, digest of the manifest of its base model")
	flags.StringVar(&chunkSize, "chunk-size", chunkSize, "size of a chunk, at most 4MiB")
	flags.StringVar(&out, "out", "", "file to write the manifest to")
	_ = cmd.MarkFlagRequired("object")
	_ = cmd.MarkFlagRequired("out")
	return cmd
}

func buildManifest(file, object string, base model.Digest, chunkSize int) (*weights.Manifest, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, usagef("%v", err)
	}
	defer func() { _ = f.Close() }()
	return weights.Build(f, object, base, chunkSize)
}

func parseChunkSize(text string) (int, error) {
	n, err := config.ParseBytes(text)
	if err != nil || n < 1 || n > weights.MaxChunkSize {
		return 0, usagef("invalid --chunk-size %q: must be 1 to 4MiB", text)
	}
	return int(n), nil
}
