package peer

//go:generate sh -c "go build -o ../../bin/ google.golang.org/protobuf/cmd/protoc-gen-go github.com/twitchtv/twirp/protoc-gen-twirp && PATH=$PWD/../../bin:$PATH protoc --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative peer.proto pool.proto"
