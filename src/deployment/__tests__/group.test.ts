import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { majorityOfVoters } from "../../consensus/majorityOfVoters";
import { nextGroupChange } from "../nextGroupChange";
import { nextRemoval } from "../nextRemoval";
import { readReplicaIdentity } from "../readReplicaIdentity";

const replica = (id: string, address = id) => ({ id, address });
const voters = ["10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7"].map((address) => replica(address));

describe("a replica that requests to join", () => {
    test("becomes a learner, then a voter", () => {
        const joiner = replica("10.0.0.4:7#aa", "10.0.0.4:7");
        expect(nextGroupChange({ voters, learners: [] }, joiner)).toEqual({ kind: "add-learner", ...joiner });
        expect(nextGroupChange({ voters, learners: [joiner] }, joiner)).toEqual({ kind: "promote", id: joiner.id });
        expect(nextGroupChange({ voters: [...voters, joiner], learners: [] }, joiner)).toBeUndefined();
    });

    test("can't set the kind of the change through other fields of its message", () => {
        const message = { kind: "join", ...replica("10.0.0.4:7#aa", "10.0.0.4:7") };
        expect(nextGroupChange({ voters, learners: [] }, message)?.kind).toBe("add-learner");
    });

    test("that lost its disk has its previous id removed first", () => {
        const returned = replica("10.0.0.2:7#bb", "10.0.0.2:7");
        expect(nextGroupChange({ voters, learners: [] }, returned)).toEqual({ kind: "remove", id: "10.0.0.2:7" });
    });
});

describe("a member that stopped responding", () => {
    const four = [...voters, replica("10.0.0.4:7#aa", "10.0.0.4:7")];

    test("is removed from an even number of voters", () => {
        expect(nextRemoval({ voters: four, learners: [] }, ["10.0.0.3:7"])).toEqual({
            kind: "remove",
            id: "10.0.0.3:7",
        });
        expect(nextRemoval({ voters: four, learners: [] }, [])).toBeUndefined();
    });

    test("stays in an odd number of voters, where its return could complete a majority", () => {
        expect(nextRemoval({ voters, learners: [] }, ["10.0.0.3:7"])).toBeUndefined();
    });

    test("is removed in any case if it is a learner", () => {
        const learner = replica("10.0.0.5:7#aa", "10.0.0.5:7");
        expect(nextRemoval({ voters, learners: [learner] }, [learner.id])).toEqual({ kind: "remove", id: learner.id });
    });

    test("leaves a majority wherever there was one, whichever replicas remain", () => {
        const membership = { voters: four, learners: [] };
        const remaining = { voters: four.slice(1), learners: [] };
        expect(nextRemoval(membership, [four[0].id])).toEqual({ kind: "remove", id: four[0].id });
        for (let subset = 0; subset < 1 << four.length; subset += 1) {
            const running = new Set(four.filter((_, index) => subset & (1 << index)).map(({ id }) => id));
            if (majorityOfVoters(membership, running)) {
                expect(majorityOfVoters(remaining, running)).toBe(true);
            }
        }
    });
});

describe("the identity of a replica", () => {
    let folder = "";
    beforeEach(async () => {
        folder = await mkdtemp(join(tmpdir(), "replica-identity-"));
    });
    afterEach(() => rm(folder, { recursive: true }));
    const founders = voters.map(({ address }) => address);

    test("keeps the founders after a restart without the list of founders", async () => {
        const first = await readReplicaIdentity(folder, "10.0.0.1:7", founders);
        expect(first).toEqual({ id: "10.0.0.1:7", founders });
        expect(await readReplicaIdentity(folder, "10.0.0.1:7", [])).toEqual(first);
    });

    test("has a new id and no founders after the disk was lost", async () => {
        await readReplicaIdentity(join(folder, "lost"), "10.0.0.1:7", founders);
        const returned = await readReplicaIdentity(join(folder, "empty"), "10.0.0.1:7", []);
        expect(returned.id).toMatch(/^10\.0\.0\.1:7#[0-9a-f]{12}$/);
        expect(returned.founders).toEqual([]);
    });

    test("has no founders if the replica is not one of them", async () => {
        expect((await readReplicaIdentity(folder, "10.0.0.9:7", founders)).founders).toEqual([]);
    });
});
